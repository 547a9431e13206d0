package dillfront.router.recovery;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.collections4.bloomfilter.BitMapExtractor;
import org.apache.commons.collections4.bloomfilter.EnhancedDoubleHasher;
import org.apache.commons.collections4.bloomfilter.Hasher;
import org.apache.commons.collections4.bloomfilter.Shape;
import org.apache.commons.collections4.bloomfilter.SimpleBloomFilter;

/**
 * Keys in doubt as one instance tells them to others: a Bloom filter, so that its size is bounded
 * whatever there is to tell, and nobody reads keys out of it. It may hold a key that was never put
 * in, in one of 10,000 cases; what it holds restricts alone.
 */
public final class KeyDigest {

    /**
     * So many bits a key and so many of them set: one in 10,000 others seems to be there (Bloom
     * 1970; m/n = 20, k = 14).
     */
    static final int BITS_PER_KEY = 20;

    private static final int HASHES_PER_KEY = 14;

    /**
     * One with more of its bits set was made to hold everything: an honest one has half of them at
     * the most.
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
        // The key is well mixed already; its halves the other way round are the step.
        return new EnhancedDoubleHasher(key, Long.rotateLeft(key, 32) * 0x9E3779B97F4A7C15L);
    }

    /**
     * Of these keys, as short as they need. Where there are too many, the latest: who asks again
     * does so soon.
     *
     * @param keys the latest last
     * @param maxWords words of 64 bits
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

    /** As it was told; null where it claims more than any honest one. */
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
