package dillfront.simulation.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Several routers as processes, and words of the operators and of discovery that are lost, late,
 * old or out of order.
 */
class WordsTest {

    private static final int ROUTERS = 3;
    private static final int ROUNDS = 200;

    /** Which agent a router was last moved to. */
    private final int[] at = new int[ROUTERS];

    private Rig rig;

    /**
     * A shell that starts the program with this signal ignored, as nohup and others do, and leaves
     * one process.
     */
    private static List<String> ignoring(String signal, List<String> command) {
        List<String> all =
                new ArrayList<>(
                        List.of("/bin/sh", "-c", "trap '' " + signal + "; exec \"$0\" \"$@\""));
        all.addAll(command);
        return all;
    }

    private static List<String> restored(List<String> command) {
        List<String> all = new ArrayList<>(List.of("env", "--default-signal=HUP,TERM"));
        all.addAll(command);
        return all;
    }

    private static long counted(Router router, String part) {
        return router.lines().stream().filter(l -> l.contains(part)).count();
    }

    /**
     * Guards against a word that is lost since whoever started the router had the signal ignored.
     */
    @Test
    void aSignalThatWasIgnoredIsRestoredOrWarnedOf() throws Exception {
        try (Rig plain = new Rig(Rig.Plan.of(1, 1, 2).command(ignoring("HUP TERM", Rig.own())));
                Rig mended =
                        new Rig(
                                Rig.Plan.of(1, 1, 2)
                                        .command(ignoring("HUP TERM", restored(Rig.own()))))) {
            plain.start();
            mended.start();
            assertEquals(2, counted(plain.router(0), "signal-ignored"), "told of both");
            assertEquals(0, counted(mended.router(0), "signal-ignored"));
            int next = mended.addAgent(0);
            mended.configure(0, next);
            mended.router(0).signal("HUP");
            mended.router(0).awaitLine("reloaded", l -> l.contains("reloaded by=SIGHUP"));
            // Ignored, but what it was about is in the file: found once the old place is gone.
            int other = plain.addAgent(0);
            plain.configure(0, other);
            plain.router(0).signal("HUP");
            plain.agent(0, 0).close();
            plain.router(0).awaitLine("reloaded", l -> l.contains("reloaded by=file"));
            mended.router(0).end();
        }
    }

    /** Guards against an end by a figure: what waits longer than that figure would be lost. */
    @Test
    void theEndWaitsForTheLastExpiryThatIsOut() throws Exception {
        try (Rig slow = new Rig(Rig.Plan.of(2, 1, 2).expiry(8000))) {
            slow.start();
            Caller first = slow.router(0).caller();
            slow.stage().run(() -> first.ask("any", 0, "16-warm", 8000, 0, null));
            slow.settle();
            // Both members take it and say nothing until well past the 3.5 s that once were the
            // end.
            slow.nodes().forEach(n -> n.mood(Node.Mood.HANGS));
            slow.stage().run(() -> first.ask("move", 0, "k1", 6000, 0, null));
            slow.stage()
                    .await(
                            "the write is out",
                            () -> slow.nodes().stream().mapToLong(n -> n.statements).sum() == 2);
            slow.router(0).signal("TERM");
            slow.router(0).awaitLine("stopping", l -> l.contains(" stopping "));
            // New ones still come; the other router's clients notice nothing.
            slow.stage().run(() -> first.ask("fresh", 0, "16-late", 5000, 0, null));
            slow.router(0).end();
            assertEquals(
                    0,
                    counted(slow.router(0), "stopped-with-work"),
                    slow.router(0).lines().toString());
            assertTrue(counted(slow.router(0), " counters ") == 1, "its last line");
            slow.settle();
            Audit audit = Audit.of(slow.stage().record());
            assertEquals(List.of(), audit.breaches());
            assertEquals(3, audit.asked());
        }
    }

    /**
     * Guards against a breach that is none: the stage had no core, and a statement and the answer
     * behind it lie unread together.
     */
    @Test
    void whatWasSentBeforeAnAnswerIsRecordedBeforeIt() throws Exception {
        try (Rig one = new Rig(Rig.Plan.of(1, 1, 2))) {
            one.start();
            Caller caller = one.router(0).caller();
            // Both connections are up, and rest.
            for (int i = 0; i < 8; i++) {
                one.stage().run(() -> caller.ask("any", 0, "16-warm", 2000, 0, null));
                one.settle();
            }
            one.nodes().forEach(n -> n.mood(Node.Mood.HANGS));
            one.stage()
                    .run(
                            () -> {
                                caller.ask("any", 0, "16-hangs", 500, 0, null);
                                try {
                                    Thread.sleep(700);
                                } catch (InterruptedException stopped) {
                                    throw new IllegalStateException(stopped);
                                }
                            });
            one.settle();
            one.router(0).end();
            Audit audit = Audit.of(one.stage().record());
            assertEquals(List.of(), audit.breaches());
            assertEquals(9, audit.asked());
        }
    }

    /**
     * Hundreds of rounds by a seed: each is a word of the operators or of discovery that comes in
     * one of the ways that go wrong, under load; it ends once each router has shown that it knows.
     * Nothing may go to a node that a router has heard to drain.
     */
    @Test
    void noWordThatClosesANodeIsLost() throws Exception {
        SplittableRandom chance = new SplittableRandom(29);
        try (Rig set = new Rig(Rig.Plan.of(ROUTERS, 2, 4))) {
            rig = set;
            set.start();
            Load load = new Load(set, 7, 2000);
            load.start();
            int[] seen = new int[10];
            for (int round = 0; round < ROUNDS; round++) {
                int kind = chance.nextInt(seen.length);
                seen[kind]++;
                play(kind, chance.nextInt(ROUTERS), chance.nextInt(4) + 4 * chance.nextInt(2));
                for (int r = 0; r < ROUTERS; r++) {
                    knows(r);
                }
            }
            load.stop();
            set.settle();
            set.routers().forEach(Router::end);
            Audit audit = Audit.of(set.stage().record());
            assertEquals(List.of(), audit.breaches().stream().limit(5).toList());
            assertTrue(
                    audit.ended("committed") > audit.asked() / 2,
                    audit.ended("committed") + " of " + audit.asked());
            for (int kind : seen) {
                assertTrue(kind > 0, "each kind was played");
            }
        }
    }

    /**
     * Until this router has shown, at the agent that it is at, that it knows the latest that this
     * agent knows.
     */
    private void knows(int r) {
        String life = rig.router(r).life() + "<a" + at[r];
        try {
            rig.stage()
                    .await(
                            life + " knows the list",
                            () -> rig.heard(life) >= rig.catalogue().latest().generation());
        } catch (IllegalStateException never) {
            throw new IllegalStateException(
                    never.getMessage()
                            + "; it knows "
                            + rig.heard(life)
                            + " of "
                            + rig.catalogue().latest().generation()
                            + ", and said "
                            + rig.router(r).lines(),
                    never);
        }
    }

    private void play(int kind, int r, int node) {
        String id = "s-" + node;
        Catalogue catalogue = rig.catalogue();
        switch (kind) {
            case 0 -> rig.stage().run(() -> catalogue.change(toggled(id)));
            case 1 ->
                    rig.stage()
                            .run(
                                    () -> {
                                        // Two changes in the same millisecond.
                                        catalogue.change(toggled(id));
                                        catalogue.change(toggled("s-" + (node + 1) % 8));
                                    });
            case 2 -> move(r, true, false);
            case 3 -> move(r, false, false);
            case 4 -> move(r, true, true);
            case 5 -> move(r, false, true);
            case 6 -> {
                // The agent is silent while the list changes, then it is heard again.
                rig.agent(r, at[r]).silent(true);
                rig.stage().run(() -> catalogue.change(toggled(id)));
                rig.agent(r, at[r]).silent(false);
            }
            case 7 -> {
                rig.router(r).signal("STOP");
                rig.stage().run(() -> catalogue.change(toggled(id)));
                rig.router(r).signal("CONT");
            }
            case 8 -> {
                // Connections to the node hang as they come up, while it leaves the list and
                // another takes its row.
                rig.link(r, id).ways(Relay.Way.PASS, Relay.Way.HOLD);
                for (int i = 0; i < 3; i++) {
                    rig.stage().run(() -> catalogue.change(toggled(id)));
                    knows(r);
                }
                rig.link(r, id).ways(Relay.Way.PASS, Relay.Way.PASS);
            }
            default -> {
                Router router = rig.router(r);
                if (node % 2 == 0) {
                    router.kill();
                } else {
                    router.end();
                }
                rig.stage().run(() -> catalogue.change(toggled(id)));
                router.start();
                router.awaitServing();
            }
        }
    }

    /**
     * Discovery moves, told by the signal or by the file alone; the new one knows less at first, or
     * the list changes meanwhile.
     */
    private void move(int r, boolean signal, boolean older) {
        int next = rig.addAgent(r);
        long before = rig.stage().call(() -> rig.catalogue().latest().generation());
        rig.stage().run(() -> rig.catalogue().change(toggled("s-" + (1 + next % 3))));
        knows(r);
        if (older) {
            rig.agent(r, next).upTo(before);
        }
        rig.configure(r, next);
        if (signal) {
            rig.router(r).signal("HUP");
        }
        String life = rig.router(r).life() + "<a" + next;
        if (!signal) {
            rig.agent(r, at[r]).close();
        }
        rig.stage().await(life + " has come to the new agent", () -> rig.heard(life) >= 0);
        if (signal) {
            rig.agent(r, at[r]).close();
        }
        at[r] = next;
        rig.agent(r, next).upTo(Long.MAX_VALUE);
    }

    /**
     * What is ready drains; what drains is gone; what is gone is back, started anew. The first two
     * of a group stay.
     */
    private Catalogue.Entry toggled(String id) {
        Catalogue.Entry e = rig.catalogue().entry(id);
        Catalogue.Entry first = rig.catalogue().upTo(0).entries().get(id);
        if (Integer.parseInt(id.substring(2)) % 4 < 2) {
            return e;
        }
        return e == null
                ? first.startedAt(System.currentTimeMillis())
                : e.is(e.lifecycle().equals("ready") ? "draining" : "gone");
    }
}
