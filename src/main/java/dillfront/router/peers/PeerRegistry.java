package dillfront.router.peers;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.MessageDigest;
import java.security.PublicKey;
import java.security.spec.X509EncodedKeySpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * Who may speak, and by which keys. An instance has one name and any number of keys at once, each
 * good from one Unix time to another, so that keys change in service: the new one is made known
 * first, then used, then the old one ends. Indices run in the order of the file; the table is as
 * long as that.
 */
public final class PeerRegistry {

    /** An Ed25519 key as X.509 writes it is this and 32 bytes (RFC 8410, section 4). */
    private static final byte[] X509_PREFIX = HexFormat.of().parseHex("302a300506032b6570032100");

    private static final int KEY_BYTES = 32;

    /**
     * One key of an instance.
     *
     * @param id what names it on the wire: the first 8 bytes of its SHA-256
     * @param validFrom Unix time from which it counts, and until which
     */
    public record PeerKey(
            int peer, long id, PublicKey key, Duration validFrom, Duration validUntil) {}

    private final List<String> names = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Map<Long, Integer> peers = new HashMap<>();
    private final Map<Long, PeerKey> keys = new HashMap<>();

    /**
     * Adds an instance.
     *
     * @param address where it listens, or null where that is learnt
     * @return its index
     */
    public int add(String name, InetSocketAddress address) throws InvalidPeerException {
        if (peers.putIfAbsent(hash(name), names.size()) != null) {
            throw new InvalidPeerException("peer '" + name + "' is named twice");
        }
        names.add(name);
        addresses.add(address);
        return names.size() - 1;
    }

    /**
     * @param hex the 32 bytes of an Ed25519 public key, as `dillfront keygen` prints them
     */
    public void key(int peer, String hex, Duration from, Duration until)
            throws InvalidPeerException {
        byte[] raw;
        try {
            raw = HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException bad) {
            raw = new byte[0];
        }
        if (raw.length != KEY_BYTES) {
            throw new InvalidPeerException(
                    "a key of peer '" + names.get(peer) + "' is not 64 hexadecimal digits");
        }
        try {
            byte[] x509 =
                    ByteBuffer.allocate(X509_PREFIX.length + KEY_BYTES)
                            .put(X509_PREFIX)
                            .put(raw)
                            .array();
            PublicKey key =
                    KeyFactory.getInstance("Ed25519").generatePublic(new X509EncodedKeySpec(x509));
            PeerKey added = new PeerKey(peer, keyId(raw), key, from, until);
            if (keys.putIfAbsent(added.id, added) != null) {
                throw new InvalidPeerException(
                        "a key of peer '" + names.get(peer) + "' is there twice");
            }
        } catch (GeneralSecurityException bad) {
            throw new InvalidPeerException(
                    "a key of peer '"
                            + names.get(peer)
                            + "' is no Ed25519 key: "
                            + bad.getMessage());
        }
    }

    /** The 32 bytes of a public key, as `dillfront keygen` prints them. */
    public static byte[] rawKey(PublicKey key) {
        byte[] x509 = key.getEncoded();
        return java.util.Arrays.copyOfRange(x509, x509.length - KEY_BYTES, x509.length);
    }

    public static long keyId(byte[] raw) {
        return hashPrefix(raw);
    }

    /** What stands for a name on the wire: the first 8 bytes of its SHA-256. */
    public static long hash(String name) {
        return hashPrefix(name.getBytes(StandardCharsets.UTF_8));
    }

    private static long hashPrefix(byte[] bytes) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes)).getLong();
        } catch (GeneralSecurityException missing) {
            throw new IllegalStateException(missing);
        }
    }

    /** Whether this is one of a peer's keys, whenever it counts. */
    public boolean hasKey(int peer, String hex) {
        for (PeerKey key : keys.values()) {
            if (key.peer == peer
                    && HexFormat.of().formatHex(rawKey(key.key)).equalsIgnoreCase(hex)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the private key is the one that belongs to this public one. */
    public boolean isKeyPair(java.security.PrivateKey privateKey, String hex) {
        try {
            PeerKey key = keys.get(keyId(HexFormat.of().parseHex(hex)));
            java.security.Signature signature = java.security.Signature.getInstance("Ed25519");
            signature.initSign(privateKey);
            signature.update(rawKey(key.key));
            byte[] signed = signature.sign();
            signature.initVerify(key.key);
            signature.update(rawKey(key.key));
            return signature.verify(signed);
        } catch (GeneralSecurityException bad) {
            return false;
        }
    }

    public int size() {
        return names.size();
    }

    public String name(int peer) {
        return names.get(peer);
    }

    public InetSocketAddress address(int peer) {
        return addresses.get(peer);
    }

    /** Learnt from its own signed word. */
    void address(int peer, InetSocketAddress address) {
        addresses.set(peer, address);
    }

    /** -1 where nobody is called so. */
    public int peer(long nameHash) {
        return peers.getOrDefault(nameHash, -1);
    }

    /** Null where there is none of this id that counts at this Unix time. */
    public PeerKey key(long id, Duration unixTime) {
        PeerKey key = keys.get(id);
        return key == null
                        || unixTime.compareTo(key.validFrom) < 0
                        || unixTime.compareTo(key.validUntil) >= 0
                ? null
                : key;
    }

    /** What is wrong with a ring, for the operator. */
    public static final class InvalidPeerException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidPeerException(String message) {
            super(message);
        }
    }
}
