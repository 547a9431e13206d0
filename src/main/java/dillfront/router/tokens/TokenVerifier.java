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
import dillfront.router.identity.AccessController;
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
public final class TokenVerifier {

    /** Longer ones are not looked at. */
    public static final int MAX_TOKEN_LENGTH = 8192;

    private static final int MAX_KEY_SET_LENGTH = 1 << 18;
    private static final Set<JWSAlgorithm> ALGORITHMS =
            Set.of(JWSAlgorithm.ES256, JWSAlgorithm.ES384, JWSAlgorithm.RS256, JWSAlgorithm.PS256);
    private static final int MIN_RSA_KEY_BITS = 2048;

    private record VerificationKey(JWSAlgorithm algorithm, JWSVerifier verifier) {}

    /** What is wrong with a token or a set of keys. */
    public static final class InvalidTokenException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidTokenException(String message) {
            super(message);
        }
    }

    private final Map<String, VerificationKey> keys = new HashMap<>();
    private final String issuer;
    private final String audience;

    /**
     * @param jwks a JSON Web Key Set of public keys, each with kid and alg
     */
    public TokenVerifier(String jwks, String issuer, String audience) throws InvalidTokenException {
        this.issuer = issuer;
        this.audience = audience;
        if (jwks.length() > MAX_KEY_SET_LENGTH) {
            throw new InvalidTokenException(
                    "a key set longer than " + MAX_KEY_SET_LENGTH + " characters");
        }
        try {
            for (JWK jwk : JWKSet.parse(jwks).getKeys()) {
                String id = jwk.getKeyID();
                if (id == null || id.isEmpty()) {
                    throw new InvalidTokenException("a key without kid");
                }
                if (jwk.isPrivate()) {
                    throw new InvalidTokenException(
                            "key '" + id + "' is a secret: public keys alone belong here");
                }
                if (jwk.getAlgorithm() == null
                        || !ALGORITHMS.contains(JWSAlgorithm.parse(jwk.getAlgorithm().getName()))) {
                    throw new InvalidTokenException(
                            "key '" + id + "' has no alg of ES256, ES384, RS256 or PS256");
                }
                JWSAlgorithm algorithm = JWSAlgorithm.parse(jwk.getAlgorithm().getName());
                if (keys.put(id, new VerificationKey(algorithm, verifier(jwk, algorithm)))
                        != null) {
                    throw new InvalidTokenException("key '" + id + "' is there twice");
                }
            }
        } catch (ParseException | JOSEException | IllegalArgumentException e) {
            throw new InvalidTokenException("no key set: " + firstLine(e.getMessage()));
        }
        if (keys.isEmpty()) {
            throw new InvalidTokenException("a key set without keys");
        }
    }

    private static JWSVerifier verifier(JWK jwk, JWSAlgorithm algorithm)
            throws JOSEException, InvalidTokenException {
        if (jwk instanceof ECKey ec && algorithm.getName().startsWith("ES")) {
            ECDSAVerifier verifier = new ECDSAVerifier(ec);
            if (verifier.supportedJWSAlgorithms().contains(algorithm)) {
                return verifier;
            }
        } else if (jwk instanceof RSAKey rsa && !algorithm.getName().startsWith("ES")) {
            if (rsa.size() < MIN_RSA_KEY_BITS) {
                throw new InvalidTokenException(
                        "key '"
                                + jwk.getKeyID()
                                + "' has "
                                + rsa.size()
                                + " bits: "
                                + MIN_RSA_KEY_BITS
                                + " at the least");
            }
            return new RSASSAVerifier(rsa);
        }
        throw new InvalidTokenException(
                "key '" + jwk.getKeyID() + "' is of no kind that " + algorithm + " needs");
    }

    /** Ids of the keys. */
    public Set<String> keyIds() {
        return Set.copyOf(keys.keySet());
    }

    /**
     * Whether this was signed by one of the keys, for this audience; its times are looked at by the
     * gate.
     *
     * @return what it says
     */
    public AccessController.Credential verify(String token) throws InvalidTokenException {
        if (token.length() > MAX_TOKEN_LENGTH) {
            throw new InvalidTokenException("longer than " + MAX_TOKEN_LENGTH + " characters");
        }
        try {
            SignedJWT jwt = SignedJWT.parse(token);
            VerificationKey key = keys.get(jwt.getHeader().getKeyID());
            if (key == null) {
                throw new InvalidTokenException("signed by no key of ours");
            }
            if (!key.algorithm.equals(jwt.getHeader().getAlgorithm())) {
                throw new InvalidTokenException(
                        "the key is for "
                                + key.algorithm
                                + ", the token says "
                                + jwt.getHeader().getAlgorithm());
            }
            if (jwt.getHeader().getCriticalParams() != null) {
                throw new InvalidTokenException("critical headers, of which none is known here");
            }
            if (!jwt.verify(key.verifier)) {
                throw new InvalidTokenException("the signature is not right");
            }
            JWTClaimsSet claims = jwt.getJWTClaimsSet();
            if (!issuer.equals(claims.getIssuer())) {
                throw new InvalidTokenException("another issuer");
            }
            if (!claims.getAudience().contains(audience)) {
                throw new InvalidTokenException("for another audience");
            }
            if (claims.getSubject() == null
                    || claims.getExpirationTime() == null
                    || claims.getJWTID() == null) {
                throw new InvalidTokenException("lacks sub, exp or jti");
            }
            return new AccessController.Credential(
                    claims.getSubject(),
                    jwt.getHeader().getKeyID(),
                    claims.getJWTID(),
                    unixTime(claims.getNotBeforeTime()),
                    unixTime(claims.getExpirationTime()));
        } catch (ParseException | JOSEException | RuntimeException e) {
            throw new InvalidTokenException("no signed token: " + firstLine(e.getMessage()));
        } catch (StackOverflowError e) {
            // Guards against brackets by the thousand, within the length.
            throw new InvalidTokenException("no signed token: nested too deep");
        }
    }

    private static Duration unixTime(Date at) {
        return at == null ? Duration.ofMillis(Long.MIN_VALUE / 4) : Duration.ofMillis(at.getTime());
    }

    private static String firstLine(String text) {
        String line = text == null ? "" : text.lines().findFirst().orElse("");
        return line.substring(0, Math.min(120, line.length()));
    }
}
