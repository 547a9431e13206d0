package dillfront.cli;

import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSHeader;
import com.nimbusds.jose.crypto.ECDSASigner;
import com.nimbusds.jose.jwk.Curve;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.JWK;
import com.nimbusds.jose.jwk.JWKSet;
import com.nimbusds.jose.jwk.gen.ECKeyGenerator;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.SignedJWT;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.text.ParseException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import java.util.UUID;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Keys that sign callers' tokens, and tokens for a try-out; nothing here talks to a router. */
@Command(
        name = "keys",
        description = "Makes and publishes keys that sign tokens, and signs tokens.",
        mixinStandardHelpOptions = true)
final class KeysCommand implements Runnable {

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "expected new, public, token or revoke");
    }

    /** Beside it and then moved: a router never reads half of it. */
    private static void replaceAtomically(Path file, String text) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(temporary, text);
        Files.move(
                temporary,
                file,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    private static ECKey readSigningKey(Path file) throws IOException {
        try {
            JWK key = JWK.parse(Files.readString(file));
            if (key instanceof ECKey ec && ec.isPrivate()) {
                return ec;
            }
        } catch (ParseException e) {
            // Told below, without what the file says: it may be a secret.
        }
        throw new IOException(file + ": no signing key as `dillfront keys new` writes it");
    }

    @Command(
            name = "new",
            description =
                    "Makes a signing key (ES256): the private one into FILE, which must not be there yet.")
    int create(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(
                            names = "--id",
                            required = true,
                            paramLabel = "ID",
                            description = "its name in key sets and tokens")
                    String id)
            throws JOSEException {
        ECKey key =
                new ECKeyGenerator(Curve.P_256).keyID(id).algorithm(JWSAlgorithm.ES256).generate();
        return RootCommand.writeSecret(file, key.toJSONString() + "\n");
    }

    @Command(
            name = "public",
            description =
                    "Writes the key set that routers read: the public parts of all these keys.")
    int publish(
            @Option(
                            names = "--to",
                            required = true,
                            paramLabel = "SET",
                            description = "replaced in one step")
                    Path to,
            @Parameters(paramLabel = "FILE", arity = "1..*") List<Path> files) {
        try {
            List<JWK> keys = new ArrayList<>();
            for (Path file : files) {
                keys.add(readSigningKey(file).toPublicJWK());
            }
            replaceAtomically(to, new JWKSet(keys).toString() + "\n");
            return 0;
        } catch (IOException e) {
            return RootCommand.fail(e.getMessage());
        }
    }

    @Command(
            name = "token",
            description =
                    "Signs a token and prints it; its id goes to standard error, for `revoke`.")
    int token(
            @Parameters(paramLabel = "FILE", description = "the signing key") Path file,
            @Option(
                            names = "--for",
                            required = true,
                            paramLabel = "NAME",
                            description = "the principal")
                    String name,
            @Option(names = "--issuer", required = true, paramLabel = "ISSUER") String issuer,
            @Option(names = "--audience", defaultValue = "dillfront", paramLabel = "AUDIENCE")
                    String audience,
            @Option(
                            names = "--minutes",
                            defaultValue = "60",
                            paramLabel = "N",
                            description = "good for so long")
                    int minutes)
            throws JOSEException {
        try {
            ECKey key = readSigningKey(file);
            String id = UUID.randomUUID().toString();
            Instant now = Instant.now();
            SignedJWT jwt =
                    new SignedJWT(
                            new JWSHeader.Builder(JWSAlgorithm.ES256).keyID(key.getKeyID()).build(),
                            new JWTClaimsSet.Builder()
                                    .subject(name)
                                    .issuer(issuer)
                                    .audience(audience)
                                    .jwtID(id)
                                    .issueTime(Date.from(now))
                                    .expirationTime(
                                            Date.from(now.plus(Duration.ofMinutes(minutes))))
                                    .build());
            jwt.sign(new ECDSASigner(key));
            System.out.println(jwt.serialize());
            System.err.println("id " + id);
            return 0;
        } catch (IOException e) {
            return RootCommand.fail(e.getMessage());
        }
    }

    @Command(
            name = "revoke",
            description = "Adds ids of tokens to the list of those that count no more.")
    int revoke(
            @Option(names = "--list", required = true, paramLabel = "LIST") Path list,
            @Parameters(paramLabel = "ID", arity = "1..*") List<String> ids) {
        try {
            String before = Files.exists(list) ? Files.readString(list) : "";
            replaceAtomically(
                    list,
                    before
                            + (before.isEmpty() || before.endsWith("\n") ? "" : "\n")
                            + String.join("\n", ids)
                            + "\n");
            return 0;
        } catch (IOException e) {
            return RootCommand.fail(e.getMessage());
        }
    }
}
