package dillfront.router.identity;

import java.nio.charset.StandardCharsets;

/**
 * One access rule, which allows or denies.
 *
 * @param typeMask bit mask of transaction types by index; ALL_TYPES includes types that are added
 *     later
 * @param reads whether the rule applies to reads
 * @param writes whether the rule applies to writes
 * @param group server group; ANY_GROUP for all
 * @param prefix prefix of the key; empty for all keys
 * @param source file and line of the rule, for messages
 */
public record Rule(
        boolean allow,
        int typeMask,
        boolean reads,
        boolean writes,
        int group,
        byte[] prefix,
        String source) {

    public static final int ALL_TYPES = -1;
    public static final int ANY_GROUP = -1;

    /** Bound of type indices: two masks of 32 types, reads and writes, fit into 64 bits. */
    public static final int MAX_TYPES = 32;

    /**
     * @throws IllegalArgumentException if the prefix is longer than 255 bytes
     */
    public Rule {
        prefix = prefix.clone();
        if (prefix.length > 255) {
            throw new IllegalArgumentException("prefix is longer than 255 bytes");
        }
    }

    /**
     * @param access r, w or rw
     */
    public static Rule of(
            boolean allow, int typeMask, String access, int group, String prefix, String source) {
        return new Rule(
                allow,
                typeMask,
                access.contains("r"),
                access.contains("w"),
                group,
                prefix.getBytes(StandardCharsets.UTF_8),
                source);
    }

    /** Returns the bit of a type and an access: reads in the lower 32 bits, writes above. */
    static long accessBit(int type, boolean write) {
        return 1L << (write ? MAX_TYPES + type : type);
    }

    long accessMask() {
        return (reads ? typeMask & 0xffffffffL : 0)
                | (writes ? (typeMask & 0xffffffffL) << MAX_TYPES : 0);
    }

    /** Returns whether the rule applies to this access; the reference for the trees in tests. */
    boolean matches(int type, boolean write, int group, KeyBytes key) {
        if ((accessMask() & accessBit(type, write)) == 0
                || this.group != ANY_GROUP && this.group != group
                || key.length() < prefix.length) {
            return false;
        }
        for (int i = 0; i < prefix.length; i++) {
            if (key.byteAt(i) != prefix[i]) {
                return false;
            }
        }
        return true;
    }
}
