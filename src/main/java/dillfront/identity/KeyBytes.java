package dillfront.identity;

/** The key of a txn, byte for byte as the node will read it; nothing is copied. */
public interface KeyBytes {

    int length();

    byte at(int index);
}
