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
 * Registry of the instances that may take part in gossip, with their keys and addresses. An
 * instance has one name and any number of keys, each valid from one Unix time to another, so that
 * keys can be rotated in service: the new key is distributed, then used, then the old one expires.
 * Indices follow the order in the operator's file and are below {@link #size}.
 */
public final class PeerRegistry {

    /**
     * Prefix of an Ed25519 public key in X.509 form, followed by its 32 bytes (RFC 8410, section
     * 4).
     */
    private static final byte[] X509_PREFIX = HexFormat.of().parseHex("302a300506032b6570032100");

    private static final int KEY_BYTES = 32;

    /**
     * One public key of an instance.
     *
     * @param id key id on the wire: the first 8 bytes of the key's SHA-256
     * @param validFrom Unix time from which the key is valid
     * @param validUntil Unix time from which the key is no longer valid
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
     * @param address listen address, or null if it is to be learned from datagrams
     * @return the instance's index
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
     * Adds a key to an instance.
     *
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
                            + "' is not an Ed25519 public key: "
                            + bad.getMessage());
        }
    }

    /** Returns the 32 bytes of a public key, as `dillfront keygen` prints them. */
    public static byte[] rawKey(PublicKey key) {
        byte[] x509 = key.getEncoded();
        return java.util.Arrays.copyOfRange(x509, x509.length - KEY_BYTES, x509.length);
    }

    public static long keyId(byte[] raw) {
        return hashPrefix(raw);
    }

    /** Returns the hash that stands for a name on the wire: the first 8 bytes of its SHA-256. */
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

    /** Returns whether this is one of the peer's keys, regardless of its validity. */
    public boolean hasKey(int peer, String hex) {
        for (PeerKey key : keys.values()) {
            if (key.peer == peer
                    && HexFormat.of().formatHex(rawKey(key.key)).equalsIgnoreCase(hex)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the private key belongs to this registered public key. */
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

    /** Sets the address learned from a signed datagram or update of the peer. */
    void address(int peer, InetSocketAddress address) {
        addresses.set(peer, address);
    }

    /** Returns the index of the instance whose name has this hash, or -1 if there is none. */
    public int peer(long nameHash) {
        return peers.getOrDefault(nameHash, -1);
    }

    /** Returns the key of this id that is valid at this Unix time, or null if there is none. */
    public PeerKey key(long id, Duration unixTime) {
        PeerKey key = keys.get(id);
        return key == null
                        || unixTime.compareTo(key.validFrom) < 0
                        || unixTime.compareTo(key.validUntil) >= 0
                ? null
                : key;
    }

    /** Reports an invalid peer entry to the operator. */
    public static final class InvalidPeerException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidPeerException(String message) {
            super(message);
        }
    }
}
