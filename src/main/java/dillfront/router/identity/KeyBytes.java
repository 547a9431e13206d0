package dillfront.router.identity;

/** The key of a txn, byte for byte as the node will read it; nothing is copied. */
public interface KeyBytes {

    int length();

    byte byteAt(int index);

    /** A copy of these bytes as a map key. */
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
