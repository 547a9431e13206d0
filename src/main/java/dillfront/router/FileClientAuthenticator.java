package dillfront.router;

import dillfront.common.logging.Log;
import dillfront.router.config.ConfigException;
import dillfront.router.config.MonotonicClock;
import dillfront.router.config.RouterSettings;
import dillfront.router.frontend.ClientAuthenticator;
import dillfront.router.identity.AccessController;
import dillfront.router.identity.LoginThrottle;
import dillfront.router.identity.Policy;
import dillfront.router.identity.Refusal;
import dillfront.router.operator.OperatorConfig;
import dillfront.router.tokens.TokenVerifier;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslProvider;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Authenticates clients by the operator's identity files and supplies the listener's TLS context. A
 * separate thread checks and reads the files four times a second and hands the result to the event
 * loop as one object. Handshake cryptography runs on that thread too, so that a burst of handshakes
 * takes no time from the event loop; handshakes beyond the concurrency limit are rejected.
 */
final class FileClientAuthenticator implements ClientAuthenticator {

    private static final Duration FILE_CHECK_INTERVAL = Duration.ofMillis(250);
    private static final int MAX_CONCURRENT_HANDSHAKES = 64;
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);

    /** Contents of the identity files, read together. */
    private record IdentityFiles(Policy policy, TokenVerifier tokens, SslContext tls) {}

    private final Path operatorFile;

    /** Accessed on the file-reader thread only, once the constructor has returned. */
    private RouterSettings settings;

    private final MonotonicClock clock;
    private final EventLoop loop;
    private final Log log;
    private final AccessController gate = new AccessController();
    private final LoginThrottle penalty;
    private final ScheduledThreadPoolExecutor fileReader =
            new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory("identity", true));

    /**
     * The last valid identity section, and the modification times and sizes of its files at that
     * time.
     */
    private OperatorConfig.IdentityConfig identity;

    private String fileStamps;
    private String lastError = "";
    private TokenVerifier tokens;
    private SslContext tls;
    private int activeHandshakes;

    /** Reads the identity files once; throws if they are invalid. */
    FileClientAuthenticator(
            Path operatorFile,
            OperatorConfig operator,
            RouterSettings setup,
            long seed,
            MonotonicClock clock,
            EventLoop loop,
            Log log)
            throws OperatorConfig.InvalidOperatorConfigException {
        this.operatorFile = operatorFile;
        this.settings = setup;
        this.clock = clock;
        this.loop = loop;
        this.log = log;
        penalty = new LoginThrottle(seed);
        identity = operator.identity();
        fileStamps = readStamps(identity);
        apply(readFiles(identity, setup));
        fileReader.scheduleWithFixedDelay(
                this::checkFiles,
                FILE_CHECK_INTERVAL.toMillis(),
                FILE_CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    void close() {
        fileReader.shutdownNow();
    }

    /**
     * Applies new settings. Permissions refer to transaction types and tenants by index, so they
     * are parsed again under the new settings, and both change in one task of the event loop:
     * otherwise a permission could apply to the type that now has its old index.
     */
    void applySettings(RouterSettings newSettings, Runnable task) throws ConfigException {
        try {
            fileReader
                    .submit(
                            () -> {
                                // If the settings are unchanged, an unreadable identity file must
                                // not block a change of the discovery address.
                                IdentityFiles identityFiles =
                                        newSettings.equals(settings)
                                                ? null
                                                : readFiles(identity, newSettings);
                                settings = newSettings;
                                loop.execute(
                                        () -> {
                                            task.run();
                                            if (identityFiles != null) {
                                                tick();
                                                apply(identityFiles);
                                            }
                                        });
                                return null;
                            })
                    .get();
        } catch (InterruptedException | ExecutionException | RejectedExecutionException e) {
            throw new ConfigException(
                    "identity is invalid under the new settings: "
                            + (e.getCause() == null ? e : e.getCause().getMessage()));
        }
    }

    // ---- file-reader thread

    /** Returns the modification times and sizes of all files; any difference triggers a read. */
    private String readStamps(OperatorConfig.IdentityConfig identityPart) {
        List<Path> files = new ArrayList<>(identityPart.files());
        files.add(operatorFile);
        StringBuilder stamps = new StringBuilder();
        for (Path file : files) {
            try {
                stamps.append(file)
                        .append(' ')
                        .append(Files.getLastModifiedTime(file).toInstant())
                        .append(' ')
                        .append(Files.size(file))
                        .append('\n');
            } catch (IOException e) {
                stamps.append(file).append(" not there\n");
            }
        }
        return stamps.toString();
    }

    private void checkFiles() {
        if (lastError.isEmpty() && readStamps(identity).equals(fileStamps)) {
            return;
        }
        String error = "";
        IdentityFiles identityFiles = null;
        try {
            OperatorConfig operator = OperatorConfig.read(operatorFile);
            if (operator.identity() == null) {
                throw new OperatorConfig.InvalidOperatorConfigException(
                        operatorFile
                                + ": identity() was removed; this takes effect only at a restart");
            }
            String stamps = readStamps(operator.identity());
            identityFiles = readFiles(operator.identity(), settings);
            identity = operator.identity();
            fileStamps = stamps;
        } catch (OperatorConfig.InvalidOperatorConfigException e) {
            error = e.getMessage();
        } catch (RuntimeException e) {
            error = String.valueOf(e);
        }
        boolean alreadyLogged = error.equals(lastError);
        lastError = error;
        IdentityFiles validFiles = identityFiles;
        String errorMessage = error;
        loop.execute(
                () -> {
                    tick();
                    if (validFiles != null) {
                        apply(validFiles);
                        log.info(
                                "identity-read",
                                "principals",
                                validFiles.policy.principals().size(),
                                "keys",
                                validFiles.policy.keys());
                    } else {
                        gate.markPolicyUnreadable();
                        if (!alreadyLogged) {
                            log.warn("identity-unreadable", "fault", errorMessage);
                        }
                    }
                });
    }

    private IdentityFiles readFiles(
            OperatorConfig.IdentityConfig identityPart, RouterSettings routerSettings)
            throws OperatorConfig.InvalidOperatorConfigException {
        try {
            TokenVerifier newTokens =
                    new TokenVerifier(
                            Files.readString(identityPart.jwks()),
                            identityPart.issuer(),
                            identityPart.audience());
            Set<String> revoked =
                    identityPart.revokedFile() == null
                            ? Set.of()
                            : Files.readAllLines(identityPart.revokedFile(), StandardCharsets.UTF_8)
                                    .stream()
                                    .map(String::strip)
                                    .filter(line -> !line.isEmpty() && !line.startsWith("#"))
                                    .collect(Collectors.toSet());
            SslContext sslContext =
                    identityPart.certificate() == null
                            ? null
                            : SslContextBuilder.forServer(
                                            identityPart.certificate().toFile(),
                                            identityPart.privateKey().toFile())
                                    .sslProvider(SslProvider.JDK)
                                    .protocols("TLSv1.3", "TLSv1.2")
                                    .build();
            return new IdentityFiles(
                    identityPart.policy(
                            routerSettings.typeIndices(),
                            routerSettings.tenantIndices(),
                            newTokens.keyIds(),
                            revoked),
                    newTokens,
                    sslContext);
        } catch (TokenVerifier.InvalidTokenException e) {
            throw new OperatorConfig.InvalidOperatorConfigException(
                    identityPart.jwks() + ": " + e.getMessage());
        } catch (IOException | IllegalArgumentException e) {
            throw new OperatorConfig.InvalidOperatorConfigException("identity: " + e);
        }
    }

    // ---- event loop

    private void apply(IdentityFiles identityFiles) {
        tokens = identityFiles.tokens;
        tls = identityFiles.tls;
        gate.replacePolicy(identityFiles.policy);
    }

    @Override
    public void tick() {
        gate.updateTime(clock.now(), Duration.ofMillis(clock.unixMillis()));
        penalty.updateTime(clock.now());
    }

    @Override
    public boolean requiresTls() {
        return tls != null;
    }

    @Override
    public ChannelHandler tlsHandler() {
        if (tls == null || activeHandshakes >= MAX_CONCURRENT_HANDSHAKES) {
            return null;
        }
        SslHandler handler =
                new SslHandler(tls.newEngine(io.netty.buffer.ByteBufAllocator.DEFAULT), fileReader);
        handler.setHandshakeTimeoutMillis(HANDSHAKE_TIMEOUT.toMillis());
        activeHandshakes++;
        handler.handshakeFuture().addListener(done -> activeHandshakes--);
        return handler;
    }

    @Override
    public Duration retryDelay(String address, String user) {
        tick();
        return penalty.loginDelay(address, user);
    }

    /**
     * Verifies the signature on the file-reader thread; the access policy is evaluated on the event
     * loop.
     */
    @Override
    public void authenticate(String address, String user, String token, LoginCallback callback) {
        TokenVerifier currentTokens = tokens;
        fileReader.execute(
                () -> {
                    AccessController.Credential credential = null;
                    String credentialError = null;
                    try {
                        credential = currentTokens.verify(token);
                        credentialError =
                                credential.principal().equals(user)
                                        ? null
                                        : "the token is for '" + credential.principal() + "'";
                    } catch (TokenVerifier.InvalidTokenException e) {
                        credentialError = e.getMessage();
                    }
                    AccessController.Credential verifiedCredential = credential;
                    String rejection = credentialError;
                    loop.execute(
                            () -> {
                                tick();
                                Object result =
                                        rejection != null
                                                ? Refusal.UNKNOWN
                                                : gate.openSession(verifiedCredential);
                                if (result instanceof AccessController.Session session) {
                                    penalty.recordSuccess(address, user);
                                    callback.accepted(session);
                                    return;
                                }
                                penalty.recordFailure(address, user);
                                String reason =
                                        rejection != null ? rejection : ((Refusal) result).label();
                                log.warn(
                                        "login-refused",
                                        "user",
                                        user,
                                        "address",
                                        address,
                                        "why",
                                        reason);
                                callback.rejected((Refusal) result, reason);
                            });
                });
    }

    @Override
    public void transactionDenied(
            AccessController.Session session,
            Refusal refusal,
            String type,
            boolean write,
            int group,
            String rule) {
        log.warn(
                "denied",
                "who",
                session.principalName(),
                "why",
                refusal,
                "type",
                type,
                "write",
                write,
                "group",
                group,
                "rule",
                rule);
    }
}
