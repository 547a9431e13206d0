package dillfront.router.tokens;

import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSVerifier;
import com.nimbusds.jose.crypto.ECDSAVerifier;
import com.nimbusds.jose.crypto.RSASSAVerifier;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.JWK;
import com.nimbusds.jose.jwk.JWKSet;
import com.nimbusds.jose.jwk.RSAKey;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.SignedJWT;
import dillfront.router.identity.Gate;
import java.text.ParseException;
import java.time.Duration;
import java.util.Date;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Signed tokens (RFC 7519) against a set of public keys (RFC 7517). What algorithm a key is for is
 * said by the key, never by the token; only signatures with a private key count, so that a public
 * one is nobody's secret. Reads no file and no clock.
 */
public final class Tokens {

    /** Longer ones are not looked at. */
    public static final int LONGEST = 8192;

    private static final int LONGEST_SET = 1 << 18;
    private static final Set<JWSAlgorithm> ALGORITHMS =
            Set.of(JWSAlgorithm.ES256, JWSAlgorithm.ES384, JWSAlgorithm.RS256, JWSAlgorithm.PS256);
    private static final int RSA_BITS = 2048;

    private record Key(JWSAlgorithm algorithm, JWSVerifier verifier) {}

    /** What is wrong with a token or a set of keys. */
    public static final class BadToken extends Exception {
        private static final long serialVersionUID = 1;

        BadToken(String fault) {
            super(fault);
        }
    }

    private final Map<String, Key> keys = new HashMap<>();
    private final String issuer;
    private final String audience;

    /**
     * @param jwks a JSON Web Key Set of public keys, each with kid and alg
     */
    public Tokens(String jwks, String issuer, String audience) throws BadToken {
        this.issuer = issuer;
        this.audience = audience;
        if (jwks.length() > LONGEST_SET) {
            throw new BadToken("a key set longer than " + LONGEST_SET + " characters");
        }
        try {
            for (JWK jwk : JWKSet.parse(jwks).getKeys()) {
                String id = jwk.getKeyID();
                if (id == null || id.isEmpty()) {
                    throw new BadToken("a key without kid");
                }
                if (jwk.isPrivate()) {
                    throw new BadToken(
                            "key '" + id + "' is a secret: public keys alone belong here");
                }
                if (jwk.getAlgorithm() == null
                        || !ALGORITHMS.contains(JWSAlgorithm.parse(jwk.getAlgorithm().getName()))) {
                    throw new BadToken(
                            "key '" + id + "' has no alg of ES256, ES384, RS256 or PS256");
                }
                JWSAlgorithm algorithm = JWSAlgorithm.parse(jwk.getAlgorithm().getName());
                if (keys.put(id, new Key(algorithm, verifier(jwk, algorithm))) != null) {
                    throw new BadToken("key '" + id + "' is there twice");
                }
            }
        } catch (ParseException | JOSEException | IllegalArgumentException bad) {
            throw new BadToken("no key set: " + first(bad.getMessage()));
        }
        if (keys.isEmpty()) {
            throw new BadToken("a key set without keys");
        }
    }

    private static JWSVerifier verifier(JWK jwk, JWSAlgorithm algorithm)
            throws JOSEException, BadToken {
        if (jwk instanceof ECKey ec && algorithm.getName().startsWith("ES")) {
            ECDSAVerifier verifier = new ECDSAVerifier(ec);
            if (verifier.supportedJWSAlgorithms().contains(algorithm)) {
                return verifier;
            }
        } else if (jwk instanceof RSAKey rsa && !algorithm.getName().startsWith("ES")) {
            if (rsa.size() < RSA_BITS) {
                throw new BadToken(
                        "key '"
                                + jwk.getKeyID()
                                + "' has "
                                + rsa.size()
                                + " bits: "
                                + RSA_BITS
                                + " at the least");
            }
            return new RSASSAVerifier(rsa);
        }
        throw new BadToken(
                "key '" + jwk.getKeyID() + "' is of no kind that " + algorithm + " needs");
    }

    /** Ids of the keys. */
    public Set<String> ids() {
        return Set.copyOf(keys.keySet());
    }

    /**
     * Whether this was signed by one of the keys, for this audience; its times are looked at by the
     * gate.
     *
     * @return what it says
     */
    public Gate.Credential read(String token) throws BadToken {
        if (token.length() > LONGEST) {
            throw new BadToken("longer than " + LONGEST + " characters");
        }
        try {
            SignedJWT jwt = SignedJWT.parse(token);
            Key key = keys.get(jwt.getHeader().getKeyID());
            if (key == null) {
                throw new BadToken("signed by no key of ours");
            }
            if (!key.algorithm.equals(jwt.getHeader().getAlgorithm())) {
                throw new BadToken(
                        "the key is for "
                                + key.algorithm
                                + ", the token says "
                                + jwt.getHeader().getAlgorithm());
            }
            if (jwt.getHeader().getCriticalParams() != null) {
                throw new BadToken("critical headers, of which none is known here");
            }
            if (!jwt.verify(key.verifier)) {
                throw new BadToken("the signature is not right");
            }
            JWTClaimsSet claims = jwt.getJWTClaimsSet();
            if (!issuer.equals(claims.getIssuer())) {
                throw new BadToken("another issuer");
            }
            if (!claims.getAudience().contains(audience)) {
                throw new BadToken("for another audience");
            }
            if (claims.getSubject() == null
                    || claims.getExpirationTime() == null
                    || claims.getJWTID() == null) {
                throw new BadToken("lacks sub, exp or jti");
            }
            return new Gate.Credential(
                    claims.getSubject(),
                    jwt.getHeader().getKeyID(),
                    claims.getJWTID(),
                    unix(claims.getNotBeforeTime()),
                    unix(claims.getExpirationTime()));
        } catch (ParseException | JOSEException | RuntimeException bad) {
            throw new BadToken("no signed token: " + first(bad.getMessage()));
        } catch (StackOverflowError deep) {
            // Guards against brackets by the thousand, within the length.
            throw new BadToken("no signed token: nested too deep");
        }
    }

    private static Duration unix(Date at) {
        return at == null ? Duration.ofMillis(Long.MIN_VALUE / 4) : Duration.ofMillis(at.getTime());
    }

    private static String first(String text) {
        String line = text == null ? "" : text.lines().findFirst().orElse("");
        return line.substring(0, Math.min(120, line.length()));
    }
}
