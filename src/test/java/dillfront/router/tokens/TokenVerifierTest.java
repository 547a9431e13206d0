package dillfront.router.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.nimbusds.jose.JOSEObjectType;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSHeader;
import com.nimbusds.jose.JWSSigner;
import com.nimbusds.jose.crypto.ECDSASigner;
import com.nimbusds.jose.crypto.MACSigner;
import com.nimbusds.jose.crypto.RSASSASigner;
import com.nimbusds.jose.jwk.Curve;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.JWKSet;
import com.nimbusds.jose.jwk.RSAKey;
import com.nimbusds.jose.jwk.gen.ECKeyGenerator;
import com.nimbusds.jose.jwk.gen.RSAKeyGenerator;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.SignedJWT;
import dillfront.router.identity.AccessController;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Date;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tokens that are right, and the ways in which they are not. */
class TokenVerifierTest {

    private static final ECKey EC = ec("k1");
    private static final ECKey OTHER = ec("k1");
    private static final RSAKey RSA = rsa();

    private static ECKey ec(String id) {
        try {
            return new ECKeyGenerator(Curve.P_256)
                    .keyID(id)
                    .algorithm(JWSAlgorithm.ES256)
                    .generate();
        } catch (com.nimbusds.jose.JOSEException e) {
            throw new IllegalStateException(e);
        }
    }

    private static RSAKey rsa() {
        try {
            return new RSAKeyGenerator(2048).keyID("k2").algorithm(JWSAlgorithm.RS256).generate();
        } catch (com.nimbusds.jose.JOSEException e) {
            throw new IllegalStateException(e);
        }
    }

    private static TokenVerifier verifier() throws Exception {
        return new TokenVerifier(
                new JWKSet(List.of(EC.toPublicJWK(), RSA.toPublicJWK())).toString(),
                "depot",
                "dillfront");
    }

    private static JWTClaimsSet.Builder claims() {
        return new JWTClaimsSet.Builder()
                .subject("billing-7")
                .issuer("depot")
                .audience("dillfront")
                .jwtID("t-1")
                .notBeforeTime(new Date(1_000_000))
                .expirationTime(new Date(2_000_000));
    }

    private static String sign(JWSHeader header, JWTClaimsSet claims, JWSSigner signer)
            throws Exception {
        SignedJWT jwt = new SignedJWT(header, claims);
        jwt.sign(signer);
        return jwt.serialize();
    }

    private static JWSHeader.Builder es256() {
        return new JWSHeader.Builder(JWSAlgorithm.ES256).keyID("k1").type(JOSEObjectType.JWT);
    }

    private static String errorOf(String token) {
        return assertThrows(
                        TokenVerifier.InvalidTokenException.class, () -> verifier().verify(token))
                .getMessage();
    }

    private static String base64(String text) {
        return Base64.getUrlEncoder()
                .withoutPadding()
                .encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void returnsClaimsOfValidToken() throws Exception {
        AccessController.Credential credential =
                verifier().verify(sign(es256().build(), claims().build(), new ECDSASigner(EC)));
        assertEquals(
                "billing-7 k1 t-1 PT16M40S PT33M20S",
                credential.principal()
                        + " "
                        + credential.key()
                        + " "
                        + credential.id()
                        + " "
                        + credential.notBefore()
                        + " "
                        + credential.expires());
        assertEquals(
                "k2",
                verifier()
                        .verify(
                                sign(
                                        new JWSHeader.Builder(JWSAlgorithm.RS256)
                                                .keyID("k2")
                                                .build(),
                                        claims().build(),
                                        new RSASSASigner(RSA)))
                        .key());
        assertEquals(Set.of("k1", "k2"), verifier().keyIds());
    }

    @Test
    void rejectsAlgorithmOtherThanThatOfKey() throws Exception {
        String claims = claims().build().toString();
        assertTrue(
                errorOf(base64("{\"alg\":\"none\",\"kid\":\"k1\"}") + "." + base64(claims) + ".")
                        .startsWith("no signed token"));
        // The public key as a shared secret.
        byte[] secret = EC.toPublicJWK().toJSONString().getBytes(StandardCharsets.UTF_8);
        assertEquals(
                "the key is for ES256, the token says HS256",
                errorOf(
                        sign(
                                new JWSHeader.Builder(JWSAlgorithm.HS256).keyID("k1").build(),
                                claims().build(),
                                new MACSigner(secret))));
        assertEquals(
                "the key is for RS256, the token says PS256",
                errorOf(
                        sign(
                                new JWSHeader.Builder(JWSAlgorithm.PS256).keyID("k2").build(),
                                claims().build(),
                                new RSASSASigner(RSA))));
    }

    @Test
    void rejectsUnknownKeysAndCriticalHeaders() throws Exception {
        assertEquals(
                "the signature is not right",
                errorOf(sign(es256().build(), claims().build(), new ECDSASigner(OTHER))));
        assertEquals(
                "signed by no key of ours",
                errorOf(sign(es256().keyID("k9").build(), claims().build(), new ECDSASigner(EC))));
        assertEquals(
                "signed by no key of ours",
                errorOf(sign(es256().keyID(null).build(), claims().build(), new ECDSASigner(EC))));
        assertEquals(
                "critical headers, of which none is known here",
                errorOf(
                        sign(
                                es256().criticalParams(Set.of("exp2"))
                                        .customParam("exp2", 1)
                                        .build(),
                                claims().build(),
                                new ECDSASigner(EC))));
    }

    @Test
    void rejectsMismatchedOrMissingClaims() throws Exception {
        ECDSASigner signer = new ECDSASigner(EC);
        assertEquals(
                "another issuer",
                errorOf(sign(es256().build(), claims().issuer("depot2").build(), signer)));
        assertEquals(
                "for another audience",
                errorOf(sign(es256().build(), claims().audience("other").build(), signer)));
        assertEquals(
                "lacks sub, exp or jti",
                errorOf(sign(es256().build(), claims().jwtID(null).build(), signer)));
        assertEquals(
                "lacks sub, exp or jti",
                errorOf(sign(es256().build(), claims().expirationTime(null).build(), signer)));
    }

    @Test
    void rejectsOversizedAndDeeplyNestedTokens() {
        assertEquals("longer than 8192 characters", errorOf("a".repeat(1 << 20)));
        for (String open : List.of("[", "{\"a\":")) {
            String deep = open.repeat(400);
            assertTrue(
                    errorOf(
                                    base64("{\"alg\":\"ES256\",\"kid\":\"k1\",\"x\":" + deep)
                                            + "."
                                            + base64(deep)
                                            + ".AAAA")
                            .startsWith("no signed token"));
        }
        assertTrue(errorOf("").startsWith("no signed token"));
        assertTrue(errorOf("a.b.c").startsWith("no signed token"));
    }

    @Test
    void rejectsInvalidKeySets() {
        for (Map.Entry<String, String> keySetAndError :
                Map.of(
                                "",
                                "no key set",
                                "{\"keys\":[]}",
                                "a key set without keys",
                                "{\"keys\":[{\"kty\":\"oct\",\"kid\":\"a\",\"alg\":\"HS256\",\"k\":\"AAAA\"}]}",
                                "key 'a' is a secret",
                                EC.toPublicJWK().toJSONString(),
                                "no key set",
                                "{\"keys\":[" + EC.toJSONString() + "]}",
                                "key 'k1' is a secret",
                                "{\"keys\":["
                                        + EC.toPublicJWK().toJSONString().replace("ES256", "RS256")
                                        + "]}",
                                "key 'k1' is of no kind that RS256 needs",
                                "{\"keys\":["
                                        + EC.toPublicJWK()
                                                .toJSONString()
                                                .replace("\"alg\":\"ES256\"", "\"use\":\"sig\"")
                                        + "]}",
                                "key 'k1' has no alg",
                                "{\"keys\":[" + EC.toPublicJWK().toJSONString().substring(0, 60),
                                "no key set")
                        .entrySet()) {
            String message =
                    assertThrows(
                                    TokenVerifier.InvalidTokenException.class,
                                    () ->
                                            new TokenVerifier(
                                                    keySetAndError.getKey(), "depot", "dillfront"))
                            .getMessage();
            assertTrue(message.startsWith(keySetAndError.getValue()), message);
        }
    }

    @Property(tries = 200, seed = "41")
    void rejectsTokenWithOneChangedCharacter(
            @ForAll @IntRange(min = 0, max = 100_000) int place,
            @ForAll @IntRange(min = 1, max = 63) int shift)
            throws Exception {
        String alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
        String token = sign(es256().build(), claims().build(), new ECDSASigner(EC));
        int at = place % (token.length() - 1);
        int index = alphabet.indexOf(token.charAt(at));
        String changed =
                token.substring(0, at)
                        + (index < 0 ? "A" : alphabet.charAt((index + shift) % 64))
                        + token.substring(at + 1);
        assertThrows(TokenVerifier.InvalidTokenException.class, () -> verifier().verify(changed));
    }
}
