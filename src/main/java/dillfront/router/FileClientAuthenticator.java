package dillfront.router;

import dillfront.common.logging.Log;
import dillfront.router.config.ConfigException;
import dillfront.router.config.MonotonicClock;
import dillfront.router.config.RouterSettings;
import dillfront.router.frontend.ClientAuthenticator;
import dillfront.router.identity.Gate;
import dillfront.router.identity.Penalty;
import dillfront.router.identity.Policy;
import dillfront.router.identity.Refusal;
import dillfront.router.operator.Operator;
import dillfront.router.tokens.Tokens;
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
 * Keeps the gate's state as the operator's files have it, and the door's TLS. Files are looked at
 * and read by a thread of their own, four times a second; what they say comes to the loop as one
 * object. Handshakes' arithmetic is done by that thread too, so that a storm of them takes none of
 * the loop's turns; so many at once, and the next are turned away.
 */
final class FileClientAuthenticator implements ClientAuthenticator {

    private static final Duration FILE_CHECK_INTERVAL = Duration.ofMillis(250);
    private static final int MAX_CONCURRENT_HANDSHAKES = 64;
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);

    /** All that one look at the files gave. */
    private record IdentityFiles(Policy policy, Tokens tokens, SslContext tls) {}

    private final Path operatorFile;

    /** On the reader's thread after the start. */
    private RouterSettings settings;

    private final MonotonicClock clock;
    private final EventLoop loop;
    private final Log log;
    private final Gate gate = new Gate();
    private final Penalty penalty;
    private final ScheduledThreadPoolExecutor fileReader =
            new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory("identity", true));

    /** What was read last and was good, and the files of it as they were then. */
    private Operator.IdentityPart identity;

    private String fileStamps;
    private String lastError = "";
    private Tokens tokens;
    private SslContext tls;
    private int handshakes;

    /** Reads the files once, or says what is wrong with them. */
    FileClientAuthenticator(
            Path operatorFile,
            Operator operator,
            RouterSettings setup,
            long seed,
            MonotonicClock clock,
            EventLoop loop,
            Log log)
            throws Operator.BadOperator {
        this.operatorFile = operatorFile;
        this.settings = setup;
        this.clock = clock;
        this.loop = loop;
        this.log = log;
        penalty = new Penalty(seed);
        identity = operator.identity();
        fileStamps = readStamps(identity);
        apply(readFiles(identity, setup));
        fileReader.scheduleWithFixedDelay(
                this::checkFiles, FILE_CHECK_INTERVAL.toMillis(), FILE_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    void close() {
        fileReader.shutdownNow();
    }

    /**
     * Other settings: the rights are read by their txn types and tenants, and both change in one
     * turn of the loop. Guards against rights that speak of a type by an index which has become
     * another's.
     */
    void applySettings(RouterSettings next, Runnable then) throws ConfigException {
        try {
            fileReader.submit(
                            () -> {
                                // Where the settings are the same, a file that cannot be read now
                                // keeps nobody from moving discovery.
                                IdentityFiles read = next.equals(settings) ? null : readFiles(identity, next);
                                settings = next;
                                loop.execute(
                                        () -> {
                                            then.run();
                                            if (read != null) {
                                                tick();
                                                apply(read);
                                            }
                                        });
                                return null;
                            })
                    .get();
        } catch (InterruptedException | ExecutionException | RejectedExecutionException bad) {
            throw new ConfigException(
                    "identity, by these settings: "
                            + (bad.getCause() == null ? bad : bad.getCause().getMessage()));
        }
    }

    // ---- on the reader's thread

    /** Sizes and times of all files: when one differs they are read again. */
    private String readStamps(Operator.IdentityPart of) {
        List<Path> files = new ArrayList<>(of.files());
        files.add(operatorFile);
        StringBuilder all = new StringBuilder();
        for (Path file : files) {
            try {
                all.append(file)
                        .append(' ')
                        .append(Files.getLastModifiedTime(file).toInstant())
                        .append(' ')
                        .append(Files.size(file))
                        .append('\n');
            } catch (IOException none) {
                all.append(file).append(" not there\n");
            }
        }
        return all.toString();
    }

    private void checkFiles() {
        if (lastError.isEmpty() && readStamps(identity).equals(fileStamps)) {
            return;
        }
        String wrong = "";
        IdentityFiles read = null;
        try {
            Operator operator = Operator.read(operatorFile);
            if (operator.identity() == null) {
                throw new Operator.BadOperator(
                        operatorFile + ": identity() is gone; that waits for a start");
            }
            String now = readStamps(operator.identity());
            read = readFiles(operator.identity(), settings);
            identity = operator.identity();
            fileStamps = now;
        } catch (Operator.BadOperator bad) {
            wrong = bad.getMessage();
        } catch (RuntimeException bad) {
            wrong = String.valueOf(bad);
        }
        boolean said = wrong.equals(lastError);
        lastError = wrong;
        IdentityFiles good = read;
        String why = wrong;
        loop.execute(
                () -> {
                    tick();
                    if (good != null) {
                        apply(good);
                        log.info(
                                "identity-read",
                                "principals",
                                good.policy.principals().size(),
                                "keys",
                                good.policy.keys());
                    } else {
                        gate.unreadable();
                        if (!said) {
                            log.warn("identity-unreadable", "fault", why);
                        }
                    }
                });
    }

    private IdentityFiles readFiles(Operator.IdentityPart of, RouterSettings by) throws Operator.BadOperator {
        try {
            Tokens next = new Tokens(Files.readString(of.jwks()), of.issuer(), of.audience());
            Set<String> revoked =
                    of.revoked() == null
                            ? Set.of()
                            : Files.readAllLines(of.revoked(), StandardCharsets.UTF_8).stream()
                                    .map(String::strip)
                                    .filter(l -> !l.isEmpty() && !l.startsWith("#"))
                                    .collect(Collectors.toSet());
            SslContext context =
                    of.certificate() == null
                            ? null
                            : SslContextBuilder.forServer(
                                            of.certificate().toFile(), of.privateKey().toFile())
                                    .sslProvider(SslProvider.JDK)
                                    .protocols("TLSv1.3", "TLSv1.2")
                                    .build();
            return new IdentityFiles(
                    of.policy(by.typeIndices(), by.tenantIndices(), next.ids(), revoked), next, context);
        } catch (Tokens.BadToken bad) {
            throw new Operator.BadOperator(of.jwks() + ": " + bad.getMessage());
        } catch (IOException | IllegalArgumentException bad) {
            throw new Operator.BadOperator("identity: " + bad);
        }
    }

    // ---- on the loop

    private void apply(IdentityFiles read) {
        tokens = read.tokens;
        tls = read.tls;
        gate.read(read.policy);
    }

    @Override
    public void tick() {
        gate.at(clock.now(), Duration.ofMillis(clock.unixMillis()));
        penalty.at(clock.now());
    }

    @Override
    public boolean requiresTls() {
        return tls != null;
    }

    @Override
    public ChannelHandler tlsHandler() {
        if (tls == null || handshakes >= MAX_CONCURRENT_HANDSHAKES) {
            return null;
        }
        SslHandler handler =
                new SslHandler(tls.newEngine(io.netty.buffer.ByteBufAllocator.DEFAULT), fileReader);
        handler.setHandshakeTimeoutMillis(HANDSHAKE_TIMEOUT.toMillis());
        handshakes++;
        handler.handshakeFuture().addListener(done -> handshakes--);
        return handler;
    }

    @Override
    public Duration retryDelay(String address, String user) {
        tick();
        return penalty.wait(address, user);
    }

    /** The signature is checked by the reader's thread; what it says is weighed here. */
    @Override
    public void authenticate(String address, String user, String token, LoginCallback entry) {
        Tokens by = tokens;
        fileReader.execute(
                () -> {
                    Gate.Credential credential = null;
                    String wrong = null;
                    try {
                        credential = by.read(token);
                        wrong =
                                credential.principal().equals(user)
                                        ? null
                                        : "the token is for '" + credential.principal() + "'";
                    } catch (Tokens.BadToken bad) {
                        wrong = bad.getMessage();
                    }
                    Gate.Credential said = credential;
                    String fault = wrong;
                    loop.execute(
                            () -> {
                                tick();
                                Object in = fault != null ? Refusal.UNKNOWN : gate.enter(said);
                                if (in instanceof Gate.Session session) {
                                    penalty.right(address, user);
                                    entry.accepted(session);
                                    return;
                                }
                                penalty.failed(address, user);
                                String why = fault != null ? fault : ((Refusal) in).word();
                                log.warn(
                                        "login-refused",
                                        "user",
                                        user,
                                        "address",
                                        address,
                                        "why",
                                        why);
                                entry.rejected((Refusal) in, why);
                            });
                });
    }

    @Override
    public void transactionDenied(
            Gate.Session session,
            Refusal why,
            String type,
            boolean write,
            int group,
            String cause) {
        log.warn(
                "denied",
                "who",
                session.name(),
                "why",
                why,
                "type",
                type,
                "write",
                write,
                "group",
                group,
                "rule",
                cause);
    }
}
