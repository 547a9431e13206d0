package dillfront.router.identity;

/** The bytes of a transaction's key as the server will read them, accessed without a copy. */
public interface KeyBytes {

    int length();

    byte byteAt(int index);

    /** Wraps an array, which is not copied. */
    static KeyBytes of(byte[] bytes) {
        return new KeyBytes() {
            @Override
            public int length() {
                return bytes.length;
            }

            @Override
            public byte byteAt(int index) {
                return bytes[index];
            }
        };
    }
}
