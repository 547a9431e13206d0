package dillfront.router;

import dillfront.common.logging.Log;
import dillfront.router.config.BadConfig;
import dillfront.router.config.Clock;
import dillfront.router.config.Setup;
import dillfront.router.frontend.Callers;
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
 * Keeps the gate's state as the operator's files have it, and the door's TLS. Files are looked at
 * and read by a thread of their own, four times a second; what they say comes to the loop as one
 * object. Handshakes' arithmetic is done by that thread too, so that a storm of them takes none of
 * the loop's turns; so many at once, and the next are turned away.
 */
final class Doorkeeper implements Callers {

    private static final Duration LOOK = Duration.ofMillis(250);
    private static final int HANDSHAKES = 64;
    private static final Duration HANDSHAKE = Duration.ofSeconds(2);

    /** All that one look at the files gave. */
    private record Read(Policy policy, TokenVerifier tokens, SslContext tls) {}

    private final Path operatorFile;

    /** On the reader's thread after the start. */
    private Setup setup;

    private final Clock clock;
    private final EventLoop loop;
    private final Log log;
    private final AccessController gate = new AccessController();
    private final LoginThrottle penalty;
    private final ScheduledThreadPoolExecutor reader =
            new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory("identity", true));

    /** What was read last and was good, and the files of it as they were then. */
    private OperatorConfig.IdentityConfig part;

    private String seen;
    private String fault = "";
    private TokenVerifier tokens;
    private SslContext tls;
    private int handshakes;

    /** Reads the files once, or says what is wrong with them. */
    Doorkeeper(
            Path operatorFile,
            OperatorConfig operator,
            Setup setup,
            long seed,
            Clock clock,
            EventLoop loop,
            Log log)
            throws OperatorConfig.InvalidOperatorConfigException {
        this.operatorFile = operatorFile;
        this.setup = setup;
        this.clock = clock;
        this.loop = loop;
        this.log = log;
        penalty = new LoginThrottle(seed);
        part = operator.identity();
        seen = stamps(part);
        take(read(part, setup));
        reader.scheduleWithFixedDelay(
                this::look, LOOK.toMillis(), LOOK.toMillis(), TimeUnit.MILLISECONDS);
    }

    void close() {
        reader.shutdownNow();
    }

    /**
     * Other settings: the rights are read by their txn types and tenants, and both change in one
     * turn of the loop. Guards against rights that speak of a type by an index which has become
     * another's.
     */
    void settle(Setup next, Runnable then) throws BadConfig {
        try {
            reader.submit(
                            () -> {
                                // Where the settings are the same, a file that cannot be read now
                                // keeps nobody from moving discovery.
                                Read read = next.equals(setup) ? null : read(part, next);
                                setup = next;
                                loop.execute(
                                        () -> {
                                            then.run();
                                            if (read != null) {
                                                tick();
                                                take(read);
                                            }
                                        });
                                return null;
                            })
                    .get();
        } catch (InterruptedException | ExecutionException | RejectedExecutionException bad) {
            throw new BadConfig(
                    "identity, by these settings: "
                            + (bad.getCause() == null ? bad : bad.getCause().getMessage()));
        }
    }

    // ---- on the reader's thread

    /** Sizes and times of all files: when one differs they are read again. */
    private String stamps(OperatorConfig.IdentityConfig of) {
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

    private void look() {
        if (fault.isEmpty() && stamps(part).equals(seen)) {
            return;
        }
        String wrong = "";
        Read read = null;
        try {
            OperatorConfig operator = OperatorConfig.read(operatorFile);
            if (operator.identity() == null) {
                throw new OperatorConfig.InvalidOperatorConfigException(
                        operatorFile + ": identity() is gone; that waits for a start");
            }
            String now = stamps(operator.identity());
            read = read(operator.identity(), setup);
            part = operator.identity();
            seen = now;
        } catch (OperatorConfig.InvalidOperatorConfigException bad) {
            wrong = bad.getMessage();
        } catch (RuntimeException bad) {
            wrong = String.valueOf(bad);
        }
        boolean said = wrong.equals(fault);
        fault = wrong;
        Read good = read;
        String why = wrong;
        loop.execute(
                () -> {
                    tick();
                    if (good != null) {
                        take(good);
                        log.info(
                                "identity-read",
                                "principals",
                                good.policy.principals().size(),
                                "keys",
                                good.policy.keys());
                    } else {
                        gate.markPolicyUnreadable();
                        if (!said) {
                            log.warn("identity-unreadable", "fault", why);
                        }
                    }
                });
    }

    private Read read(OperatorConfig.IdentityConfig of, Setup by)
            throws OperatorConfig.InvalidOperatorConfigException {
        try {
            TokenVerifier next =
                    new TokenVerifier(Files.readString(of.jwks()), of.issuer(), of.audience());
            Set<String> revoked =
                    of.revokedFile() == null
                            ? Set.of()
                            : Files.readAllLines(of.revokedFile(), StandardCharsets.UTF_8).stream()
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
            return new Read(
                    of.policy(by.types(), by.tenants(), next.keyIds(), revoked), next, context);
        } catch (TokenVerifier.InvalidTokenException bad) {
            throw new OperatorConfig.InvalidOperatorConfigException(
                    of.jwks() + ": " + bad.getMessage());
        } catch (IOException | IllegalArgumentException bad) {
            throw new OperatorConfig.InvalidOperatorConfigException("identity: " + bad);
        }
    }

    // ---- on the loop

    private void take(Read read) {
        tokens = read.tokens;
        tls = read.tls;
        gate.replacePolicy(read.policy);
    }

    @Override
    public void tick() {
        gate.updateTime(clock.now(), Duration.ofMillis(clock.unixMillis()));
        penalty.updateTime(clock.now());
    }

    @Override
    public boolean tlsAlone() {
        return tls != null;
    }

    @Override
    public ChannelHandler tls() {
        if (tls == null || handshakes >= HANDSHAKES) {
            return null;
        }
        SslHandler handler =
                new SslHandler(tls.newEngine(io.netty.buffer.ByteBufAllocator.DEFAULT), reader);
        handler.setHandshakeTimeoutMillis(HANDSHAKE.toMillis());
        handshakes++;
        handler.handshakeFuture().addListener(done -> handshakes--);
        return handler;
    }

    @Override
    public Duration wait(String address, String user) {
        tick();
        return penalty.loginDelay(address, user);
    }

    /** The signature is checked by the reader's thread; what it says is weighed here. */
    @Override
    public void enter(String address, String user, String token, Entry entry) {
        TokenVerifier by = tokens;
        reader.execute(
                () -> {
                    AccessController.Credential credential = null;
                    String wrong = null;
                    try {
                        credential = by.verify(token);
                        wrong =
                                credential.principal().equals(user)
                                        ? null
                                        : "the token is for '" + credential.principal() + "'";
                    } catch (TokenVerifier.InvalidTokenException bad) {
                        wrong = bad.getMessage();
                    }
                    AccessController.Credential said = credential;
                    String fault = wrong;
                    loop.execute(
                            () -> {
                                tick();
                                Object in =
                                        fault != null ? Refusal.UNKNOWN : gate.openSession(said);
                                if (in instanceof AccessController.Session session) {
                                    penalty.recordSuccess(address, user);
                                    entry.entered(session);
                                    return;
                                }
                                penalty.recordFailure(address, user);
                                String why = fault != null ? fault : ((Refusal) in).label();
                                log.warn(
                                        "login-refused",
                                        "user",
                                        user,
                                        "address",
                                        address,
                                        "why",
                                        why);
                                entry.refused((Refusal) in, why);
                            });
                });
    }

    @Override
    public void denied(
            AccessController.Session session,
            Refusal why,
            String type,
            boolean write,
            int group,
            String cause) {
        log.warn(
                "denied",
                "who",
                session.principalName(),
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
