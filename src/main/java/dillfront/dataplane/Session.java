package dillfront.dataplane;

import dillfront.common.config.Configuration;
import dillfront.common.config.Configuration.ReadConsistency;
import dillfront.common.config.Configuration.Route;
import dillfront.common.database.LogPosition;
import dillfront.common.environment.Environment;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One client's connection. It holds a connection to a server only while a transaction is open or a
 * statement runs; its values and prepared names are kept here and replayed there. One thing is
 * asked at a time; what comes ahead waits.
 */
final class Session implements Environment.ConnectionListener {

    private static final int MOST_AHEAD = 32;
    private static final int MOST_NAMES = 400;

    /** Bytes that a client may leave unread. */
    private static final long MOST_UNREAD = 4 << 20;

    /**
     * The part of a statement's time that it may wait for a primary or a connection before it is
     * refused.
     */
    private static final double PATIENCE = 0.8;

    /** Before its time is over it is answered, so that the answer is there in time. */
    private static final long EARLY_MS = 25;

    private static final long BUSY_PAUSE_MS = 20;

    /** What is given a connection: one statement by itself, or a transaction. */
    private abstract class Work {
        final String id;
        final Route route;
        final long since = front.host.nowMillis();
        int tries;
        final List<Server> tried = new ArrayList<>();
        Connection on;
        boolean over;

        Work(String id, Route route) {
            this.id = id;
            this.route = route;
        }

        boolean wanted() {
            return !over && !Session.this.over;
        }

        long patience() {
            return since + (long) (route.timeoutMillis() * PATIENCE);
        }

        abstract boolean mayReplica();

        abstract void got(Service service, Server server, Connection connection, LogPosition need);

        /** There is no server for it now. */
        abstract void nowhere(Service service);

        /** This one has no connection for it. */
        abstract void none(Service service, Server server);

        /** Takes a connection, now or later, of a server where it may run. */
        void take() {
            Service service = front.service(route.service());
            LogPosition need = mayReplica() ? need(service) : null;
            Server replica = mayReplica() ? service.replica(need, tried) : null;
            Server server = replica == null ? usablePrimary(service) : replica;
            if (server == null) {
                nowhere(service);
                return;
            }
            server.take(
                    new Server.Waiter() {
                        @Override
                        public boolean wants() {
                            return wanted();
                        }

                        @Override
                        public long rank() {
                            return route.priority() * 1_000_000_000L + since;
                        }

                        @Override
                        public Map<String, String> values() {
                            return values;
                        }

                        @Override
                        public void got(Connection connection) {
                            Work.this.got(service, server, connection, need);
                        }

                        @Override
                        public void none(String why) {
                            Work.this.none(service, server);
                        }
                    });
        }

        /** What a log must hold for its reads; null where that is not known. */
        private LogPosition need(Service service) {
            LogPosition floor = service.floors.since(since - route.maxStalenessMillis());
            return floor == null
                    ? null
                    : service.without(
                            route.consistency() == ReadConsistency.READ_YOUR_WRITES
                                    ? LogPosition.max(floor, token)
                                    : floor);
        }

        /**
         * That a server leads is not sure by the record, so it is asked first, on the same
         * connection. One that led after a read's first byte came has all that was acknowledged
         * before, whatever happens to it then.
         */
        void verify(Connection at, Runnable then, Runnable otherwise) {
            front.counts.verified++;
            at.ask(
                    "STATUS",
                    (answer, done, code, text, state, position) -> {
                        if (wanted()
                                && code == null
                                && !answer.isEmpty()
                                && answer.get(0).startsWith("primary ")) {
                            then.run();
                            return;
                        }
                        release(at, state);
                        if (wanted()) {
                            otherwise.run();
                        }
                    });
        }
    }

    /** A transaction of the client's. */
    private final class Txn extends Work {
        final boolean reads;
        Server server;
        boolean opening;

        /** A statement of it has run, or may have. */
        boolean ran;

        boolean wrote;

        /** What waits until it is open. */
        Job first;

        Environment.Timer rest;

        Txn(boolean reads, String id, Route route) {
            super(id, route);
            this.reads = reads;
        }

        @Override
        boolean mayReplica() {
            return reads && route.consistency() != ReadConsistency.PRIMARY;
        }

        @Override
        void got(Service service, Server from, Connection connection, LogPosition need) {
            begin(this, service, from, connection, need);
        }

        @Override
        void nowhere(Service service) {
            openLater(this, service);
        }

        @Override
        void none(Service service, Server from) {
            tried.add(from);
            openLater(this, service);
        }
    }

    /** One statement that is to be answered. */
    private final class Job extends Work {
        final String text;
        final Statement statement;
        final long until;

        /** What it needs the session to have prepared, as "READ shape". */
        String shape;

        boolean writes;
        Environment.Timer limit;
        Runnable again;

        Job(String id, String text, Statement statement, Route route) {
            super(id, route);
            this.text = text;
            this.statement = statement;
            until = since + route.timeoutMillis() - EARLY_MS;
        }

        /** Its client was answered before, or is gone. */
        long overdue() {
            return since + route.timeoutMillis();
        }

        @Override
        boolean mayReplica() {
            return !writes && route.consistency() != ReadConsistency.PRIMARY;
        }

        @Override
        void got(Service service, Server server, Connection connection, LogPosition need) {
            send(this, service, server, connection, need);
        }

        @Override
        void nowhere(Service service) {
            await(service, this);
        }

        @Override
        void none(Service service, Server server) {
            if (server == service.primary() || server.id.equals(service.primary)) {
                await(service, this);
            } else {
                tried.add(server);
                front.host.schedule(
                        0,
                        () -> {
                            if (wanted()) {
                                take();
                            }
                        });
            }
        }
    }

    private final Front front;
    private Environment.Connection client;
    private String database;
    private final Map<String, String> values = new HashMap<>();
    private final Map<String, String> prepared = new HashMap<>();
    private LogPosition token;
    private Txn txn;

    /** The transaction failed: its end rolls back. */
    private boolean failed;

    private Job job;
    private boolean over;
    private boolean leaves;
    private boolean leavesNow;

    /**
     * It came when this front was already on its way out: it gets one operation, or none where that
     * could not end any more.
     */
    private boolean late;

    private boolean tooLate;
    private boolean asked;
    private final ArrayDeque<String> ahead = new ArrayDeque<>();

    Session(Front front) {
        this.front = front;
    }

    @Override
    public void onOpen(Environment.Connection link) {
        client = link;
    }

    // ---- what the client says

    @Override
    public void onMessage(byte[] bytes) {
        for (byte b : bytes) {
            if (b >= 0 && b < ' ' && b != '\t') {
                refuse("MALFORMED", "a control character");
                return;
            }
        }
        if (ahead.size() >= MOST_AHEAD) {
            refuse("MALFORMED", "too much at once");
            return;
        }
        ahead.add(new String(bytes, StandardCharsets.ISO_8859_1));
        next();
    }

    /** An error that ends the connection. */
    private void refuse(String code, String text) {
        say("ERROR " + code + " " + text);
        end();
    }

    private void next() {
        while (!over && job == null && !ahead.isEmpty()) {
            take(ahead.poll());
        }
        if (leaves && !over && job == null && txn == null && (asked || !late)) {
            end();
        } else if (leavesNow && !over && job == null) {
            leaveNow();
        }
    }

    private void take(String line) {
        int blank = line.indexOf(' ');
        String word = blank < 0 ? line : line.substring(0, blank);
        String rest = blank < 0 ? "" : line.substring(blank + 1);
        if (word.equals("CONNECT") && database == null) {
            int gap = rest.indexOf(' ');
            String host = gap < 0 ? rest : rest.substring(0, gap);
            if (host.isEmpty() || gap < 0) {
                refuse("MALFORMED", "CONNECT database who");
            } else if (tooLate) {
                refuse("BUSY", "the router ends");
            } else if (front.configuration() == Configuration.NONE) {
                refuse("BUSY", "no configuration yet");
            } else if (front.configuration().route(host) == null) {
                refuse("NODATABASE", host);
            } else {
                database = host;
                say("READY I -");
            }
        } else if (word.equals("QUERY") && database != null) {
            int gap = rest.indexOf(' ');
            if (gap < 1 || gap == rest.length() - 1 || rest.startsWith("- ")) {
                refuse("MALFORMED", "QUERY id text");
            } else {
                query(rest.substring(0, gap), rest.substring(gap + 1));
            }
        } else if (word.equals("GOODBYE") && rest.isEmpty()) {
            end();
        } else {
            refuse("MALFORMED", "no word that fits here");
        }
    }

    private char state() {
        return failed ? 'E' : txn != null ? 'T' : 'I';
    }

    private void done() {
        say("COMPLETE -\r\nREADY " + state() + " -");
    }

    /** An error of this front's own; inside a transaction it fails it. */
    private void error(String code, String text) {
        if (txn != null) {
            failed = true;
        }
        say("ERROR " + code + " " + text + "\r\nREADY " + state() + " -");
    }

    private void query(String id, String text) {
        front.counts.asked++;
        Statement is = Statement.of(text);
        boolean ends = is.verb() == Statement.Verb.COMMIT || is.verb() == Statement.Verb.ROLLBACK;
        if (failed && !ends) {
            error("MALFORMED", "the transaction failed");
            return;
        }
        if (txn != null && txn.rest != null) {
            txn.rest.cancel();
        }
        switch (is.verb()) {
            case MALFORMED:
                error("MALFORMED", "no statement");
                break;
            case SET:
                if (!values.containsKey(is.name()) && values.size() >= MOST_NAMES) {
                    error("TOOLARGE", "too many values");
                } else {
                    values.put(is.name(), is.rest());
                    done();
                }
                break;
            case PREPARE:
                if (prepared.size() >= MOST_NAMES) {
                    error("TOOLARGE", "too many prepared names");
                } else {
                    prepared.put(is.name(), is.rest());
                    done();
                }
                break;
            case DEALLOCATE:
                if (prepared.remove(is.name()) == null) {
                    error("UNKNOWN", is.name());
                } else {
                    done();
                }
                break;
            case BEGIN:
            case BEGIN_READ:
                begin(id, is);
                break;
            case ROLLBACK:
                rollback();
                break;
            case COMMIT:
                if (txn == null) {
                    error("MALFORMED", "no transaction");
                } else if (failed) {
                    endTxn(true);
                    say("ERROR ABORTED the transaction failed\r\nREADY I -");
                } else {
                    run(new Job(id, text, is, txn.route));
                }
                break;
            default:
                statement(id, text, is);
        }
    }

    private Route route() {
        return front.configuration().route(database);
    }

    private void begin(String id, Statement is) {
        Route route = route();
        if (txn != null) {
            error("MALFORMED", "a transaction is open");
        } else if (route == null) {
            error("NODATABASE", database);
        } else {
            txn = new Txn(is.verb() == Statement.Verb.BEGIN_READ, id, route);
            asked = true;
            done();
            rests(txn);
            open(txn);
        }
    }

    private void rests(Txn of) {
        if (of.rest != null) {
            of.rest.cancel();
        }
        of.rest =
                front.host.schedule(
                        front.configuration().transactionIdleMillis(),
                        () -> {
                            if (txn == of && job == null && !failed) {
                                failed = true;
                                let(of, true);
                            }
                        });
    }

    private void rollback() {
        if (txn == null) {
            error("MALFORMED", "no transaction");
        } else {
            endTxn(true);
            say("COMPLETE -\r\nREADY I -");
        }
    }

    /** The transaction is over for the client. */
    private void endTxn(boolean rollback) {
        Txn was = txn;
        txn = null;
        failed = false;
        if (was.rest != null) {
            was.rest.cancel();
        }
        let(was, rollback);
    }

    /** Gives its connection back, rolled back where it is not at rest. */
    private void let(Txn of, boolean rollback) {
        of.over = true;
        Connection on = of.on;
        of.on = null;
        if (of.server != null) {
            counted(of, null);
        }
        if (on == null || on.over()) {
            return;
        }
        if (rollback) {
            back(on);
        } else {
            on.server.free(on);
        }
    }

    private static void back(Connection on) {
        on.ask(
                "ROLLBACK",
                (rows, stamp, code, text, state, position) -> {
                    if (on.over()) {
                        return;
                    }
                    if (state == 'I') {
                        on.server.free(on);
                    } else {
                        on.cut("not rolled back");
                    }
                });
    }

    private void counted(Txn of, Server now) {
        Service service = front.service(of.route.service());
        if (of.server != null && of.server.id.equals(service.primary)) {
            service.openAtPrimary = Math.max(0, service.openAtPrimary - 1);
            if (service.moving && service.openAtPrimary == 0) {
                front.news.tell();
            }
        }
        of.server = now;
        if (now != null && now.id.equals(service.primary)) {
            service.openAtPrimary++;
        }
    }

    private void statement(String id, String text, Statement is) {
        Route route = txn != null ? txn.route : route();
        if (route == null) {
            error("NODATABASE", database);
            return;
        }
        Job asked = new Job(id, text, is, route);
        if (is.verb() == Statement.Verb.EXECUTE) {
            asked.shape = prepared.get(is.name());
            if (asked.shape == null) {
                error("UNKNOWN", is.name());
                return;
            }
            asked.writes = asked.shape.startsWith("WRITE ");
        } else {
            asked.writes = is.verb() == Statement.Verb.WRITE;
        }
        run(asked);
    }

    private static String line(Job of) {
        return of.shape == null
                ? of.text
                : "EXECUTE " + Connection.name(of.shape) + " " + of.statement.rest();
    }

    private void run(Job next) {
        job = next;
        asked = true;
        next.limit =
                front.host.schedule(
                        Math.max(1, next.until - front.host.nowMillis()), () -> timeIsOver(next));
        if (txn != null) {
            if (txn.on != null) {
                inside(txn, next);
            } else {
                txn.first = next;
                if (!txn.opening) {
                    open(txn);
                }
            }
        } else {
            next.take();
        }
    }

    // ---- answers

    private void over(Job of) {
        of.over = true;
        job = null;
        if (of.limit != null) {
            of.limit.cancel();
        }
        if (of.again != null) {
            front.service(of.route.service()).forget(of.again);
        }
    }

    private void answer(Job of, List<String> rows, String stamp, LogPosition position) {
        over(of);
        front.counts.served++;
        StringBuilder out = new StringBuilder();
        rows.forEach(row -> out.append("ROW ").append(row).append("\r\n"));
        out.append("COMPLETE ")
                .append(stamp)
                .append("\r\nREADY ")
                .append(state())
                .append(' ')
                .append(position == null ? "-" : position);
        say(out.toString());
        if (txn != null) {
            rests(txn);
        }
        next();
    }

    private void fail(Job of, String code, String text) {
        over(of);
        if (code.equals("UNCERTAIN") || code.equals("TIMEOUT")) {
            front.counts.unsure++;
        } else {
            front.counts.refused++;
        }
        error(code, text);
        next();
    }

    /** It was not run, and is given up: when to come back. */
    private void busy(Job of) {
        if (txn != null) {
            endsFailed();
        }
        fail(
                of,
                "BUSY",
                "not run; come back in "
                        + Math.max(50, of.route.targetLatencyMillis() / 2)
                        + " ms");
    }

    /** What is open at the server is rolled back; the client's own end of it is still to come. */
    private void endsFailed() {
        failed = true;
        if (txn.on != null) {
            Connection on = txn.on;
            txn.on = null;
            counted(txn, null);
            if (!on.over()) {
                back(on);
            }
        }
        txn.over = true;
    }

    private void timeIsOver(Job of) {
        if (of.over) {
            return;
        }
        if (of.on == null) {
            busy(of);
            return;
        }
        Connection on = of.on;
        of.over = true;
        if (txn != null) {
            failed = true;
            txn.over = true;
            txn.on = null;
            counted(txn, null);
            if (of.statement.verb() == Statement.Verb.COMMIT) {
                Txn was = txn;
                txn = null;
                failed = false;
                if (was.rest != null) {
                    was.rest.cancel();
                }
            }
        }
        on.cut("time-out");
        of.over = false;
        fail(of, "TIMEOUT", "no answer in " + of.route.timeoutMillis() + " ms");
    }

    // ---- one statement by itself

    private Server usablePrimary(Service service) {
        Server lead = service.primary();
        return lead == null || !lead.reachable() ? null : lead;
    }

    /** Until something changes, as long as there is patience; then it is refused at once. */
    private void await(Service service, Job of) {
        if (front.host.nowMillis() >= of.patience() || !service.hopeful()) {
            busy(of);
            return;
        }
        of.tried.clear();
        of.again =
                () -> {
                    of.again = null;
                    if (!of.over && !over) {
                        of.take();
                    }
                };
        service.await(of.again);
    }

    private void send(Job of, Service service, Server server, Connection on, LogPosition need) {
        boolean after =
                !of.writes && of.route.consistency() != ReadConsistency.PRIMARY && need != null;
        if (of.writes || after || service.sure(server)) {
            sendNow(of, service, server, on, after ? need : null);
        } else {
            of.on = on;
            of.verify(
                    on,
                    () -> sendNow(of, service, server, on, null),
                    () -> {
                        of.on = null;
                        if (of.tries++ < 3 && front.host.nowMillis() < of.patience()) {
                            later(of, of::take);
                        } else {
                            busy(of);
                        }
                    });
        }
    }

    private void sendNow(Job of, Service service, Server server, Connection on, LogPosition after) {
        of.on = on;
        long sent = front.host.nowMillis();
        LogPosition before = server.seen;
        String line = (after == null ? "" : "AFTER " + after + " ") + line(of);
        on.ask(
                values,
                of.shape,
                of.id,
                line,
                of.overdue(),
                (rows, stamp, code, text, state, position) -> {
                    of.on = null;
                    if (code == null) {
                        server.fresh();
                        boolean sure = service.sure(server);
                        if (of.writes) {
                            service.acknowledged(server, before, position);
                        }
                        if (of.writes || sure) {
                            service.floors.led(position, sent);
                        }
                        release(on, state);
                        paced(server, of, sent);
                        if (of.over || over) {
                            return;
                        }
                        if (of.writes) {
                            token = LogPosition.max(token, position);
                        }
                        answer(of, rows, stamp, position);
                        return;
                    }
                    release(on, state);
                    if (of.over || over) {
                        return;
                    }
                    failed(of, service, server, code, text);
                });
    }

    private void paced(Server server, Job of, long sent) {
        double usual = Math.max(1, of.route.targetLatencyMillis() / 12.0);
        double is = Math.min(8, Math.max(0.5, (front.host.nowMillis() - sent) / usual));
        server.pace += 0.1 * (Math.max(1, is) - server.pace);
    }

    private static void release(Connection on, char state) {
        if (on.over()) {
            return;
        }
        if (state == 'I') {
            on.server.free(on);
        } else {
            back(on);
        }
    }

    private void later(Job of, Runnable run) {
        front.host.schedule(
                BUSY_PAUSE_MS + front.host.random().nextInt(20),
                () -> {
                    if (!of.over && !over) {
                        run.run();
                    }
                });
    }

    /** It came to nothing: again where that is allowed, else the client is told. */
    private void failed(Job of, Service service, Server server, String code, String text) {
        boolean patient = front.host.nowMillis() < of.patience();
        boolean notRun = true;
        switch (code) {
            case "BUSY":
                of.tried.add(server);
                if (patient) {
                    later(of, of::take);
                    return;
                }
                break;
            case "LAGGING":
                front.counts.lagging++;
                server.lagging();
                of.tried.add(server);
                if (patient) {
                    of.take();
                    return;
                }
                break;
            case "READONLY":
                if (patient) {
                    later(of, of::take);
                    return;
                }
                break;
            case "UNSENT":
            case "UNKNOWN":
            case "WRONGNODE":
            case "TOOMANY":
                of.tried.add(server);
                if (patient && of.tries++ < 2) {
                    later(of, of::take);
                    return;
                }
                break;
            case "CUT":
            case "FAILED":
                notRun = false;
                if (!of.writes) {
                    of.tried.add(server);
                    if (patient && of.tries++ < Math.max(1, of.route.maxAttempts())) {
                        of.take();
                        return;
                    }
                }
                break;
            default:
                notRun = false;
        }
        if (notRun) {
            busy(of);
        } else if (code.equals("CUT")) {
            fail(of, of.writes ? "UNCERTAIN" : "ABORTED", "the connection ended");
        } else {
            fail(of, code, text);
        }
    }

    // ---- transactions

    /** Opens it at a server, while the client is already told that it is open. */
    private void open(Txn of) {
        if (of.wanted()) {
            of.opening = true;
            of.take();
        }
    }

    /**
     * Waits for a change; given up with the statement that waits, or after a while where none does.
     */
    private void openLater(Txn of, Service service) {
        long until = of.first != null ? of.first.patience() : of.patience();
        if (front.host.nowMillis() >= until || of.first != null && !service.hopeful()) {
            of.opening = false;
            if (of.first != null) {
                busy(of.first);
            }
            return;
        }
        of.tried.clear();
        service.await(() -> open(of));
    }

    private void begin(Txn of, Service service, Server server, Connection on, LogPosition need) {
        if (!of.reads || need != null || service.sure(server)) {
            beginNow(of, service, server, on, need);
        } else {
            of.verify(
                    on,
                    () -> beginNow(of, service, server, on, null),
                    () -> front.host.schedule(BUSY_PAUSE_MS, () -> openLater(of, service)));
        }
    }

    private void beginNow(Txn of, Service service, Server server, Connection on, LogPosition need) {
        String line =
                (need == null ? "" : "AFTER " + need + " ") + (of.reads ? "BEGIN READ" : "BEGIN");
        long sent = front.host.nowMillis();
        on.ask(
                values,
                null,
                of.id,
                line,
                sent + of.route.timeoutMillis(),
                (rows, stamp, code, text, state, position) -> {
                    if (of.over || over) {
                        release(on, on.over() ? 'I' : state);
                        return;
                    }
                    if (code == null) {
                        if (!of.reads) {
                            service.floors.led(position, sent);
                        }
                        opened(of, server, on);
                        return;
                    }
                    release(on, state);
                    if (code.equals("LAGGING")) {
                        front.counts.lagging++;
                        server.lagging();
                    }
                    of.tried.add(server);
                    of.tries++;
                    front.host.schedule(
                            code.equals("LAGGING") ? 0 : BUSY_PAUSE_MS,
                            () -> {
                                if (of.over || over) {
                                    return;
                                }
                                long until = of.first != null ? of.first.patience() : of.patience();
                                if (front.host.nowMillis() >= until) {
                                    openLater(of, service);
                                } else {
                                    open(of);
                                }
                            });
                });
    }

    private void opened(Txn of, Server server, Connection on) {
        of.opening = false;
        of.on = on;
        counted(of, server);
        Job first = of.first;
        of.first = null;
        if (first != null && !first.over) {
            inside(of, first);
        }
    }

    private void inside(Txn of, Job asked) {
        Connection on = of.on;
        Service service = front.service(of.route.service());
        if (!of.ran && on.server.leaves()) {
            // Opened in time, but its first statement would be late.
            elsewhere(of, asked, 0);
            return;
        }
        boolean commit = asked.statement.verb() == Statement.Verb.COMMIT;
        boolean first = !of.ran;
        boolean wrote = of.wrote || asked.writes;
        asked.on = on;
        of.ran = true;
        of.wrote = wrote;
        long sent = front.host.nowMillis();
        LogPosition before = on.server.seen;
        // Values may have been set within the transaction; what would need a RESET cannot come
        // here.
        on.ask(
                values,
                asked.shape,
                asked.id,
                line(asked),
                asked.overdue(),
                (rows, stamp, code, text, state, position) -> {
                    asked.on = null;
                    if (code == null && commit && wrote) {
                        service.acknowledged(on.server, before, position);
                    }
                    if (asked.over || over || txn != of) {
                        return;
                    }
                    if (code == null) {
                        if (!of.reads && (!commit || of.wrote)) {
                            // One that wrote nothing is committed by a router that has lost the
                            // lead, too.
                            service.floors.led(position, sent);
                        }
                        if (commit) {
                            if (of.wrote) {
                                token = LogPosition.max(token, position);
                            }
                            txn = null;
                            if (of.rest != null) {
                                of.rest.cancel();
                            }
                            let(of, state != 'I');
                        }
                        answer(asked, rows, stamp, position);
                        return;
                    }
                    boolean unsent = code.equals("UNSENT");
                    boolean cut = code.equals("CUT") || unsent;
                    if (code.equals("BUSY")
                            && state == 'T'
                            && front.host.nowMillis() < asked.patience()) {
                        later(asked, () -> inside(of, asked));
                        return;
                    }
                    if (commit) {
                        txn = null;
                        if (of.rest != null) {
                            of.rest.cancel();
                        }
                        let(of, state != 'I');
                        fail(
                                asked,
                                !cut ? code : of.wrote && !unsent ? "UNCERTAIN" : "ABORTED",
                                cut ? "the connection ended" : text);
                        return;
                    }
                    boolean promised =
                            code.equals("BUSY")
                                    || code.equals("READONLY")
                                    || code.equals("LAGGING")
                                    || code.equals("UNKNOWN")
                                    || cut;
                    if (first
                            && promised
                            && front.host.nowMillis() < asked.patience()
                            && asked.tries++ < 4) {
                        if (cut || code.equals("READONLY")) {
                            of.tried.add(on.server);
                        }
                        elsewhere(of, asked, cut ? 0 : BUSY_PAUSE_MS);
                        return;
                    }
                    endsFailed();
                    fail(
                            asked,
                            cut ? "ABORTED" : code,
                            cut ? "the connection ended; nothing of it is kept" : text);
                });
    }

    /** Nothing of the transaction has been kept: it begins anew. */
    private void elsewhere(Txn of, Job asked, long in) {
        Connection on = of.on;
        of.ran = false;
        of.wrote = false;
        of.on = null;
        counted(of, null);
        if (!on.over()) {
            back(on);
        }
        of.first = asked;
        of.opening = true;
        front.host.schedule(in, () -> open(of));
    }

    // ---- the end

    private void say(String lines) {
        if (!over) {
            client.send(lines.getBytes(StandardCharsets.ISO_8859_1));
            if (client.pendingBytes() > MOST_UNREAD) {
                onClose("reads nothing");
                client.close();
            }
        }
    }

    private void end() {
        if (!over) {
            Environment.Connection link = client;
            onClose("ended");
            link.close();
        }
    }

    @Override
    public void onClose(String why) {
        if (over) {
            return;
        }
        if (why.equals("too long")) {
            say("ERROR TOOLARGE a message of more than 1 MiB");
        }
        over = true;
        if (job != null) {
            Job was = job;
            Connection on = was.on;
            over(was);
            if (txn != null && on != null) {
                // What runs is cut with its connection: it rolls back, or the commit that is out
                // goes its own way.
                txn.over = true;
                counted(txn, null);
                txn.on = null;
                on.cut("client left");
            }
        }
        if (txn != null) {
            endTxn(true);
        }
        front.ended(this);
    }

    void cameLate(boolean tooLateToServe) {
        leaves = true;
        late = true;
        tooLate = tooLateToServe;
    }

    /** The front ends: at rest is the time to go. */
    void leaveAtRest() {
        leaves = true;
        next();
    }

    /**
     * The front ends now: what is open is told that nothing of it is kept, what runs is heard to
     * its end.
     */
    void leaveNow() {
        leaves = true;
        leavesNow = true;
        if (job == null) {
            if (txn != null) {
                say("ERROR ABORTED the router ends; nothing of the transaction is kept");
            }
            end();
        }
    }
}
