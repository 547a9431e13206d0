package dillfront.router.recovery;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.collections4.bloomfilter.BitMapExtractor;
import org.apache.commons.collections4.bloomfilter.EnhancedDoubleHasher;
import org.apache.commons.collections4.bloomfilter.Hasher;
import org.apache.commons.collections4.bloomfilter.Shape;
import org.apache.commons.collections4.bloomfilter.SimpleBloomFilter;

/**
 * Bloom filter of the in-doubt keys of one instance, sent to its peers. Its size is bounded
 * regardless of the number of keys, and the keys cannot be read from it. A false positive (one in
 * 10,000 keys) only restricts a write.
 */
public final class Digest {

    /**
     * Bits per key, and bits set per key: a false positive rate of one in 10,000 (Bloom 1970; m/n =
     * 20, k = 14).
     */
    static final int BITS = 20;

    private static final int SET = 14;

    /**
     * Part of set bits above which a filter is rejected as forged to match every key: a valid one
     * has at most half of its bits set.
     */
    private static final double FULL = 0.55;

    private final long[] words;
    private final SimpleBloomFilter filter;

    private Digest(long[] words, SimpleBloomFilter filter) {
        this.words = words;
        this.filter = filter;
    }

    private static Shape shape(int words) {
        return Shape.fromKM(SET, words * Long.SIZE);
    }

    private static Hasher hasher(long key) {
        // The key is already a mixed hash; its rotated halves serve as the step.
        return new EnhancedDoubleHasher(key, Long.rotateLeft(key, 32) * 0x9E3779B97F4A7C15L);
    }

    /**
     * Builds a filter as short as the keys allow. If there are too many keys the latest ones are
     * included, since most clients retry soon.
     *
     * @param keys the latest last
     * @param most maximum size in words of 64 bits
     */
    public static Digest of(Iterable<Long> keys, int most) {
        List<Long> all = new ArrayList<>();
        keys.forEach(all::add);
        int words = Math.max(1, Math.min(most, (all.size() * BITS + Long.SIZE - 1) / Long.SIZE));
        List<Long> told =
                all.subList(Math.max(0, all.size() - words * Long.SIZE / BITS), all.size());
        SimpleBloomFilter filter = new SimpleBloomFilter(shape(words));
        told.forEach(key -> filter.merge(hasher(key)));
        return new Digest(told.isEmpty() ? new long[0] : filter.asBitMapArray(), filter);
    }

    /** Reads a received filter; returns null if it matches more keys than a valid one can. */
    public static Digest read(long[] words) {
        SimpleBloomFilter filter = new SimpleBloomFilter(shape(Math.max(1, words.length)));
        filter.merge(BitMapExtractor.fromBitMapArray(words));
        return filter.cardinality() > FULL * words.length * Long.SIZE
                ? null
                : new Digest(words, filter);
    }

    public boolean isEmpty() {
        return words.length == 0;
    }

    public long[] words() {
        return words.clone();
    }

    public boolean mayHold(long key) {
        return words.length > 0 && filter.contains(hasher(key));
    }
}
