package dillfront.common.message;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Texts made shorter for a link, and back. */
public final class Compression {

    /** These are no deflated bytes, or more comes of them than any text has. */
    public static final class CorruptDataException extends Exception {
        private static final long serialVersionUID = 1;

        CorruptDataException(String message) {
            super(message);
        }
    }

    private static final int BUFFER_BYTES = 1 << 13;

    private Compression() {}

    /** The text, compressed. */
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
     * The text again.
     *
     * @param maxBytes bytes that it may have
     * @throws Bad where it is damaged, goes on behind its end, or is longer
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
                    throw new CorruptDataException("ends before its end");
                }
                if (count > maxBytes - out.size()) {
                    throw new CorruptDataException("more than " + maxBytes + " bytes come of it");
                }
                out.write(buffer, 0, count);
            }
            if (inflater.getRemaining() > 0) {
                throw new CorruptDataException("goes on behind its end");
            }
            return out.toByteArray();
        } catch (DataFormatException exception) {
            throw new CorruptDataException("damaged: " + exception.getMessage());
        } finally {
            inflater.end();
        }
    }
}
