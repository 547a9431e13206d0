package dillfront.router.identity;

import java.nio.charset.StandardCharsets;

/**
 * One right, or its denial.
 *
 * @param types bits of txn types, by index; ALL for all of them, also those that come later
 * @param reads holds for reads
 * @param writes holds for writes
 * @param group of nodes; ANY for all
 * @param prefix what the key begins with; empty for all keys
 * @param from where the rule stands, for people
 */
public record Rule(
        boolean allow,
        int types,
        boolean reads,
        boolean writes,
        int group,
        byte[] prefix,
        String from) {

    public static final int ALL = -1;
    public static final int ANY = -1;

    /** Types have indices below this. */
    public static final int TYPES = 32;

    /**
     * @throws IllegalArgumentException where the rule contradicts itself
     */
    public Rule {
        prefix = prefix.clone();
        if (prefix.length > 255) {
            throw new IllegalArgumentException("a prefix longer than 255 bytes");
        }
    }

    /**
     * @param access r, w or rw
     */
    public static Rule of(
            boolean allow, int types, String access, int group, String prefix, String from) {
        return new Rule(
                allow,
                types,
                access.contains("r"),
                access.contains("w"),
                group,
                prefix.getBytes(StandardCharsets.UTF_8),
                from);
    }

    /** Bit of a type and an access within 64: reads below, writes above. */
    static long bit(int type, boolean write) {
        return 1L << (write ? TYPES + type : type);
    }

    long bits() {
        return (reads ? types & 0xffffffffL : 0) | (writes ? (types & 0xffffffffL) << TYPES : 0);
    }

    /** Whether it speaks of this txn; the plain reading, against which the index is tested. */
    boolean speaksOf(int type, boolean write, int group, KeyBytes key) {
        if ((bits() & bit(type, write)) == 0
                || this.group != ANY && this.group != group
                || key.length() < prefix.length) {
            return false;
        }
        for (int i = 0; i < prefix.length; i++) {
            if (key.at(i) != prefix[i]) {
                return false;
            }
        }
        return true;
    }
}
