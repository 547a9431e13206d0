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
 * Verifies signed tokens (RFC 7519) with a set of public keys (RFC 7517). The key, never the token,
 * determines the algorithm, and only asymmetric signatures are accepted, so that a public key
 * cannot be misused as a shared secret. The class reads no file and no clock.
 */
public final class TokenVerifier {

    public static final int MAX_TOKEN_LENGTH = 8192;

    private static final int MAX_KEY_SET_LENGTH = 1 << 18;
    private static final Set<JWSAlgorithm> ALGORITHMS =
            Set.of(JWSAlgorithm.ES256, JWSAlgorithm.ES384, JWSAlgorithm.RS256, JWSAlgorithm.PS256);
    private static final int MIN_RSA_KEY_BITS = 2048;

    private record VerificationKey(JWSAlgorithm algorithm, JWSVerifier verifier) {}

    /** A token or a key set is invalid; the message names the error. */
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
                    "key set is longer than " + MAX_KEY_SET_LENGTH + " characters");
        }
        try {
            for (JWK jwk : JWKSet.parse(jwks).getKeys()) {
                String id = jwk.getKeyID();
                if (id == null || id.isEmpty()) {
                    throw new InvalidTokenException("key set has a key without kid");
                }
                if (jwk.isPrivate()) {
                    throw new InvalidTokenException(
                            "key '" + id + "' is a secret: only public keys are allowed");
                }
                if (jwk.getAlgorithm() == null
                        || !ALGORITHMS.contains(JWSAlgorithm.parse(jwk.getAlgorithm().getName()))) {
                    throw new InvalidTokenException(
                            "key '" + id + "' has no alg out of ES256, ES384, RS256 and PS256");
                }
                JWSAlgorithm algorithm = JWSAlgorithm.parse(jwk.getAlgorithm().getName());
                if (keys.put(id, new VerificationKey(algorithm, verifier(jwk, algorithm)))
                        != null) {
                    throw new InvalidTokenException("key '" + id + "' is defined twice");
                }
            }
        } catch (ParseException | JOSEException | IllegalArgumentException e) {
            throw new InvalidTokenException("invalid key set: " + firstLine(e.getMessage()));
        }
        if (keys.isEmpty()) {
            throw new InvalidTokenException("key set is empty");
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
                                + " bits, expected "
                                + MIN_RSA_KEY_BITS
                                + " or more");
            }
            return new RSASSAVerifier(rsa);
        }
        throw new InvalidTokenException(
                "key '"
                        + jwk.getKeyID()
                        + "' has a key type that "
                        + algorithm
                        + " does not support");
    }

    /** Returns the ids of the keys. */
    public Set<String> keyIds() {
        return Set.copyOf(keys.keySet());
    }

    /**
     * Verifies the signature, the issuer and the audience of a token and returns its claims. Its
     * validity period is checked by {@link AccessController}.
     */
    public AccessController.Credential verify(String token) throws InvalidTokenException {
        if (token.length() > MAX_TOKEN_LENGTH) {
            throw new InvalidTokenException(
                    "token is longer than " + MAX_TOKEN_LENGTH + " characters");
        }
        try {
            SignedJWT jwt = SignedJWT.parse(token);
            VerificationKey key = keys.get(jwt.getHeader().getKeyID());
            if (key == null) {
                throw new InvalidTokenException("token is signed with an unknown key");
            }
            if (!key.algorithm.equals(jwt.getHeader().getAlgorithm())) {
                throw new InvalidTokenException(
                        "key is for "
                                + key.algorithm
                                + ", token has alg "
                                + jwt.getHeader().getAlgorithm());
            }
            if (jwt.getHeader().getCriticalParams() != null) {
                throw new InvalidTokenException("token has critical headers, none is supported");
            }
            if (!jwt.verify(key.verifier)) {
                throw new InvalidTokenException("token signature is invalid");
            }
            JWTClaimsSet claims = jwt.getJWTClaimsSet();
            if (!issuer.equals(claims.getIssuer())) {
                throw new InvalidTokenException("token is from another issuer");
            }
            if (!claims.getAudience().contains(audience)) {
                throw new InvalidTokenException("token is for another audience");
            }
            if (claims.getSubject() == null
                    || claims.getExpirationTime() == null
                    || claims.getJWTID() == null) {
                throw new InvalidTokenException("token lacks sub, exp or jti");
            }
            return new AccessController.Credential(
                    claims.getSubject(),
                    jwt.getHeader().getKeyID(),
                    claims.getJWTID(),
                    unixTime(claims.getNotBeforeTime()),
                    unixTime(claims.getExpirationTime()));
        } catch (ParseException | JOSEException | RuntimeException e) {
            throw new InvalidTokenException("malformed token: " + firstLine(e.getMessage()));
        } catch (StackOverflowError e) {
            // Thousands of nested brackets fit within the length bound.
            throw new InvalidTokenException("malformed token: nested too deep");
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
