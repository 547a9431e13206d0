package dillfront.common.message;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses and decompresses messages with DEFLATE. */
public final class Compression {

    /** Reports data that is not valid DEFLATE output, or exceeds the expected size. */
    public static final class CorruptDataException extends Exception {
        private static final long serialVersionUID = 1;

        CorruptDataException(String message) {
            super(message);
        }
    }

    private static final int BUFFER_BYTES = 1 << 13;

    private Compression() {}

    /** Compresses bytes. */
    public static byte[] compress(byte[] bytes) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length / 8 + 64);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decompresses bytes.
     *
     * @param maxBytes the maximum length of the result
     * @throws CorruptDataException if the data is damaged, is followed by more bytes, or
     *     decompresses to more than {@code maxBytes}
     */
    public static byte[] decompress(byte[] deflated, int maxBytes) throws CorruptDataException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(deflated);
            ByteArrayOutputStream out =
                    new ByteArrayOutputStream(Math.min(maxBytes, deflated.length * 4 + 64));
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && !inflater.finished()) {
                    throw new CorruptDataException("truncated data");
                }
                if (count > maxBytes - out.size()) {
                    throw new CorruptDataException(
                            "decompressed data exceeds " + maxBytes + " bytes");
                }
                out.write(buffer, 0, count);
            }
            if (inflater.getRemaining() > 0) {
                throw new CorruptDataException("unexpected data after the end");
            }
            return out.toByteArray();
        } catch (DataFormatException exception) {
            throw new CorruptDataException("invalid data: " + exception.getMessage());
        } finally {
            inflater.end();
        }
    }
}
