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
public final class KeyDigest {

    /**
     * Bits per key, and bits set per key: a false positive rate of one in 10,000 (Bloom 1970; m/n =
     * 20, k = 14).
     */
    static final int BITS_PER_KEY = 20;

    private static final int HASHES_PER_KEY = 14;

    /**
     * Part of set bits above which a filter is rejected as forged to match every key: a valid one
     * has at most half of its bits set.
     */
    private static final double MAX_SET_PART = 0.55;

    private final long[] words;
    private final SimpleBloomFilter filter;

    private KeyDigest(long[] words, SimpleBloomFilter filter) {
        this.words = words;
        this.filter = filter;
    }

    private static Shape shape(int words) {
        return Shape.fromKM(HASHES_PER_KEY, words * Long.SIZE);
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
     * @param maxWords maximum size in words of 64 bits
     */
    public static KeyDigest of(Iterable<Long> keys, int maxWords) {
        List<Long> all = new ArrayList<>();
        keys.forEach(all::add);
        int words =
                Math.max(
                        1,
                        Math.min(
                                maxWords, (all.size() * BITS_PER_KEY + Long.SIZE - 1) / Long.SIZE));
        List<Long> included =
                all.subList(Math.max(0, all.size() - words * Long.SIZE / BITS_PER_KEY), all.size());
        SimpleBloomFilter filter = new SimpleBloomFilter(shape(words));
        included.forEach(key -> filter.merge(hasher(key)));
        return new KeyDigest(included.isEmpty() ? new long[0] : filter.asBitMapArray(), filter);
    }

    /** Reads a received filter; returns null if it matches more keys than a valid one can. */
    public static KeyDigest parse(long[] words) {
        SimpleBloomFilter filter = new SimpleBloomFilter(shape(Math.max(1, words.length)));
        filter.merge(BitMapExtractor.fromBitMapArray(words));
        return filter.cardinality() > MAX_SET_PART * words.length * Long.SIZE
                ? null
                : new KeyDigest(words, filter);
    }

    public boolean isEmpty() {
        return words.length == 0;
    }

    public long[] words() {
        return words.clone();
    }

    public boolean mayContain(long key) {
        return words.length > 0 && filter.contains(hasher(key));
    }
}
