package dillfront.simulation;

import dillfront.controlplane.consensus.SafetyRule;
import dillfront.simulation.ControlWorld.Kind;
import dillfront.simulation.ControlWorld.Scene;
import dillfront.simulation.ControlWorld.Step;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Model checker of the control plane. Explores all steps of small models up to a depth in
 * breadth-first order, takes random walks far beyond that depth, and repeats this with one safety
 * rule disabled at a time, which must lead to a violation.
 */
public final class ControlWorlds {

    /**
     * @param worlds number of states reached by exploration and of walks, with all safety rules
     *     enabled
     * @param steps number of steps in the walks
     * @param broken the first violation with all safety rules enabled and its trace; null if there
     *     is none
     * @param caught the trace of a violation for each safety rule whose absence was detected
     * @param missed the safety rules whose absence was not detected within the time
     */
    public record Result(
            long worlds,
            long steps,
            String broken,
            TreeMap<SafetyRule, String> caught,
            List<SafetyRule> missed) {}

    /**
     * Result of an exploration: the number of states, the deepest path to one, whether the
     * exploration was exhaustive, and the violation.
     */
    record Found(int states, int depth, boolean whole, String broken) {}

    /** Two operators, one revision number and three members. */
    static final Scene DUEL = new Scene(3, 3, false, false, 1, 2, 0, 0, 0, 0, 0, 0, 0, 0);

    static final String DUEL_BEGINS = "ORDER 0 8, ORDER 1 9";

    /** A configuration and one power loss; an operator without an answer repeats the call. */
    static final Scene LOSS = new Scene(3, 3, false, false, 1, 2, 0, 0, 1, 0, 0, 0, 0, 0);

    static final String LOSS_BEGINS = "ORDER 0 8";

    /**
     * One member is replaced while a configuration is in progress at the removed member; the first
     * process proposes both membership steps.
     */
    static final Scene REPLACED = new Scene(4, 3, false, false, 1, 1, 0, 0, 0, 0, 0, 2, 2, 0);

    /** The same, starting with the joint value in progress, with one power loss. */
    static final Scene JOINT = new Scene(4, 3, false, false, 1, 1, 0, 0, 1, 0, 0, 1, 2, 0);

    private static final String HEARD =
            "MESSAGE 0 1, MESSAGE 0 2, MESSAGE 1 0, MESSAGE 2 0, MESSAGE 3 0, MESSAGE 0 3";
    static final String REPLACED_BEGINS = HEARD + ", SETS 0 11, ORDER 0 10";

    /**
     * The joint value is accepted by the first process alone, by a majority of the old set alone,
     * or decided and ready to be finished.
     */
    static final String REPLACED_BY_ONE =
            HEARD
                    + ", SETS 0 11, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, DISK 0 0, ORDER 0 10";

    static final String REPLACED_BY_OLD =
            HEARD
                    + ", SETS 0 11, DISK 0 0, MESSAGE 0 2, DISK 2 0, MESSAGE 2 0, DISK 0 0, MESSAGE 0 2, DISK 2 0, ORDER 0 10";
    static final String REPLACED_SETTLING =
            HEARD
                    + ", SETS 0 11, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, DISK 0 0, MESSAGE 0 1, MESSAGE 0 3, "
                    + "DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, TIME 50 0, SETS 0 0, DISK 0 0, ORDER 0 10";

    /**
     * Server reports and one record with fixed members, and during the replacement of a member,
     * with one power loss.
     */
    static final Scene KEPT = new Scene(3, 3, false, false, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 2, 1);

    static final Scene KEPT_SETS =
            new Scene(4, 3, false, false, 1, 0, 0, 0, 1, 0, 0, 1, 2, 0, 1, 1);

    /** First start, with one replaced disk. */
    static final Scene FIRST = new Scene(3, 3, true, false, 1, 1, 0, 0, 1, 1, 0, 0, 0, 0);

    private static final int TRIES = 6;
    private static final int THREADS = 2;
    private static final double[] SPEEDS = {0, 0.05, 1, 3};
    private static final int MANY = 1_000;

    /** Fixed members, two operators, power losses and disk failures. */
    static final Scene POWER =
            new Scene(3, 3, false, false, 2, MANY, MANY, MANY, 8, 2, 3, MANY, 0, MANY);

    /** Membership changes proposed by the first process. */
    static final Scene SETS =
            new Scene(4, 3, false, false, 2, MANY, MANY, MANY, 3, 1, 1, MANY, MANY, MANY);

    /** All kinds of steps. */
    static final Scene ALL =
            new Scene(5, 3, false, true, 3, MANY, MANY, MANY, 6, 3, 2, MANY, MANY, MANY);

    /** Bootstrap from empty disks, one of which is replaced later. */
    static final Scene FOUNDED =
            new Scene(3, 3, true, true, 2, MANY, MANY, MANY, 6, 1, 2, MANY, MANY, MANY);

    static final Scene FIVE =
            new Scene(5, 5, false, true, 2, MANY, MANY, MANY, 4, 1, 2, MANY, MANY, MANY);

    /** The lease alone, with fixed members and with membership changes. */
    static final Scene LEASE = new Scene(3, 3, false, true, 1, 0, 0, MANY, 3, 0, 1, MANY, 0, MANY);

    static final Scene LEASE_SETS =
            new Scene(4, 3, false, true, 1, 0, 0, MANY, 2, 0, 1, MANY, MANY, MANY);

    /** Membership changes alone. */
    static final Scene CHANGES =
            new Scene(4, 3, false, false, 2, MANY, MANY, MANY, 0, 0, 0, MANY, MANY, 0);

    /**
     * Servers and records, with fixed members and with membership changes; the failover coordinator
     * is the first process or the lease holder.
     */
    static final Scene SERVED =
            new Scene(3, 3, false, false, 1, 0, 0, MANY, 6, 2, 0, 0, 0, MANY, MANY, MANY);

    static final Scene SERVED_SETS =
            new Scene(4, 3, false, false, 1, 0, 0, MANY, 4, 2, 0, MANY, MANY, MANY, MANY, MANY);
    static final Scene DUTY =
            new Scene(3, 3, false, true, 1, 0, 0, MANY, 6, 2, 0, MANY, 0, MANY, MANY, MANY);
    static final Scene DUTY_SETS =
            new Scene(5, 3, false, true, 1, 0, 0, MANY, 6, 2, 0, MANY, MANY, MANY, MANY, MANY);

    /**
     * A model, the length of a random walk through it, and the kinds of steps that are more
     * frequent than usual.
     *
     * @param more a factor of the weight of a kind
     * @param first the initial steps
     */
    record Walk(Scene scene, int length, Map<Kind, Integer> more, String first) {
        Walk(Scene scene, int length, Map<Kind, Integer> more) {
            this(scene, length, more, "");
        }
    }

    /** Start of an exploration. */
    private record Begun(String name, Scene scene, String first) {}

    private static final Map<Kind, Integer> CALM =
            Map.of(
                    Kind.SENT,
                    0,
                    Kind.OLD,
                    0,
                    Kind.READ,
                    0,
                    Kind.CUT,
                    0,
                    Kind.REFUSED,
                    0,
                    Kind.EMPTY,
                    0);

    /**
     * A member has promised a ballot to one proposer and receives the request of another; power
     * losses may follow.
     */
    private static final Walk PROMISED =
            new Walk(
                    POWER,
                    60,
                    Map.of(
                            Kind.SENT,
                            0,
                            Kind.OLD,
                            0,
                            Kind.READ,
                            0,
                            Kind.CUT,
                            0,
                            Kind.REFUSED,
                            0,
                            Kind.CRASH,
                            3,
                            Kind.ORDER,
                            0),
                    "ORDER 0 18, DISK 2 0, ORDER 1 25, MESSAGE 0 2, DISK 1 0, MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 1, "
                            + "MESSAGE 2 0, DISK 1 0");

    private static final Walk DUELLING =
            new Walk(
                    POWER,
                    60,
                    CALM,
                    "ORDER 0 18, DISK 2 0, ORDER 1 25, MESSAGE 0 2, DISK 1 0, MESSAGE 0 1, "
                            + "MESSAGE 1 0");

    /** A proposer has sent a value to one member, and may lose power. */
    private static final Walk OFFERED =
            new Walk(
                    POWER,
                    60,
                    CALM,
                    "ORDER 0 18, MESSAGE 0 2, MESSAGE 2 0, DISK 0 0, MESSAGE 0 2, MESSAGE 2 0, DISK 0 0, CRASH 2 0");

    /**
     * One member alone has accepted the first step of a membership change and, with the safety rule
     * disabled, the second.
     */
    private static final Walk UNDECIDED =
            new Walk(
                    CHANGES,
                    60,
                    CALM,
                    "MESSAGE 1 0, MESSAGE 2 1, MESSAGE 3 0, SETS 0 9, DISK 0 0, MESSAGE 0 1, "
                            + "DISK 1 0, MESSAGE 1 0, DISK 0 0, TIME 250 0, ORDER 1 9, DISK 1 0, MESSAGE 1 0, DISK 0 0, TIME 250 0, SETS 0 0, DISK 0 0, "
                            + "MESSAGE 0 1, MESSAGE 0 3, DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, DISK 0 0, TIME 250 0, DISK 1 0, MESSAGE 1 0, DISK 0 0, "
                            + "TIME 250 0");

    /**
     * A member set was replaced and one of its former members does not know; a configuration is in
     * progress in the new set.
     */
    private static final Walk DROPPED =
            new Walk(
                    SETS,
                    60,
                    Map.of(
                            Kind.CRASH,
                            0,
                            Kind.SENT,
                            0,
                            Kind.OLD,
                            0,
                            Kind.CUT,
                            0,
                            Kind.SETS,
                            0,
                            Kind.READ,
                            2),
                    "MESSAGE 2 0, MESSAGE 0 2, MESSAGE 0 1, MESSAGE 1 0, MESSAGE 2 1, MESSAGE 3 0, SETS 0 9, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, MESSAGE 1 3, "
                            + "DISK 0 0, MESSAGE 0 1, MESSAGE 0 3, DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, TIME 50 0, SETS 0 0, DISK 0 0, "
                            + "MESSAGE 0 1, MESSAGE 0 3, DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, DISK 0 0, MESSAGE 0 1, MESSAGE 0 3, "
                            + "DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, MESSAGE 3 1, TIME 50 0, ORDER 0 8, DISK 0 0, MESSAGE 0 3, DISK 3 0, "
                            + "MESSAGE 3 0, DISK 0 0, MESSAGE 0 3, DISK 3 0, MESSAGE 3 0, READ 2 0, MESSAGE 2 1");

    /**
     * A configuration was decided, a membership change is proposed, and another configuration is in
     * progress at a process that the change removes.
     */
    private static final Walk CHANGING =
            new Walk(
                    CHANGES,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.READ, 0),
                    "MESSAGE 1 0, ORDER 0 16, "
                            + "DISK 0 0, MESSAGE 0 1, MESSAGE 1 0, DISK 1 0, SETS 0 1, ORDER 1 18, MESSAGE 1 0");

    /**
     * Several processes propose membership changes with the safety rule disabled, and some hold the
     * lease by them.
     */
    private static final Walk SEVERAL =
            new Walk(
                    LEASE_SETS,
                    100,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.CRASH, 0),
                    "MESSAGE 0 3, TIME 1000 0, DISK 0 0, MESSAGE 0 1, DISK 2 0, MESSAGE 1 2, MESSAGE 3 2, MESSAGE 2 1, TIME 10 0, "
                            + "MESSAGE 1 0, DISK 1 0, SETS 1 5, MESSAGE 2 3, MESSAGE 1 2, DISK 3 0, MESSAGE 2 3, TIME 10 0, SETS 3 5, "
                            + "TIME 50 0, TIME 50 0, TIME 10 0, DISK 1 0, SETS 2 10, TIME 50 0, DISK 1 0, DISK 3 0, MESSAGE 3 2, "
                            + "TIME 50 0, DISK 2 0, TIME 250 0, TIME 10 0, DISK 2 0, DISK 0 0, MESSAGE 0 2, TIME 10 0, MESSAGE 3 1, "
                            + "DISK 2 0, DISK 1 0, SETS 2 2, MESSAGE 2 0, MESSAGE 2 1, DISK 1 0, MESSAGE 1 2, SETS 2 4, DISK 2 0");

    /** The bootstrapping process has received a message from one of two peers. */
    private static final Walk FOUNDING =
            new Walk(
                    FOUNDED,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.EMPTY, 4, Kind.CRASH, 3),
                    "MESSAGE 0 1, MESSAGE 1 0, DISK 0 0, MESSAGE 0 1, CRASH 0 0, DISK 1 0");

    /** A configuration was acknowledged, and a process that accepted it is down. */
    private static final Walk EMPTIED =
            new Walk(
                    POWER,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.EMPTY, 8, Kind.CRASH, 3),
                    "MESSAGE 1 0, ORDER 0 16, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, CRASH 0 0");

    private static final Walk LEASING = new Walk(LEASE, 200, Map.of());

    /**
     * A member promised the lease to a candidate whose disk then stalls, and another candidate,
     * which had requested it before, requests a higher number.
     */
    private static final Walk TURNING =
            new Walk(
                    LEASE,
                    60,
                    Map.of(Kind.CRASH, 0, Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0),
                    "MESSAGE 1 2, MESSAGE 2 1, "
                            + "TIME 600 0, DISK 1 0, CRASH 1 0, START 1 0, MESSAGE 0 2, MESSAGE 2 0, MESSAGE 1 2, MESSAGE 2 1, TIME 250 0, DISK 0 0, DISK 0 0, "
                            + "DISK 1 0, MESSAGE 0 2, DISK 2 0, DISK 2 0, MESSAGE 1 0, "
                            + "MESSAGE 1 2, MESSAGE 2 1, TIME 1000 0, DISK 1 0, ".repeat(3)
                            + "MESSAGE 1 2");

    /**
     * The lease holder works with a new member set; a member of the former set requests the lease
     * from another member of that set.
     */
    private static final Walk OVER =
            new Walk(
                    LEASE_SETS,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CRASH, 0, Kind.CUT, 0),
                    "MESSAGE 0 1, MESSAGE 1 0, TIME 50 0, MESSAGE 3 0, TIME 50 0, TIME 50 0, TIME 50 0, TIME 50 0, DISK 0 0, "
                            + "MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, SETS 0 9, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, DISK 0 0, "
                            + "MESSAGE 0 1, MESSAGE 0 3, DISK 1 0, DISK 3 0, MESSAGE 0 3, MESSAGE 1 0, MESSAGE 3 0, DISK 3 0, MESSAGE 3 0, "
                            + "TIME 50 0, SETS 0 0, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, MESSAGE 0 3, DISK 3 0, MESSAGE 3 0, "
                            + "DISK 0 0, TIME 250 0, TIME 250 0, TIME 250 0, MESSAGE 0 3, MESSAGE 3 0, TIME 250 0, TIME 250 0, TIME 250 0, "
                            + "MESSAGE 2 1, SENT 1 2, MESSAGE 1 2, TIME 250 0, TIME 250 0, DISK 2 0, TIME 250 0, TIME 250 0, DISK 2 0");

    private static final Map<Kind, Integer> FEW =
            Map.of(Kind.CRASH, 0, Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.REFUSED, 0);

    /**
     * Two candidates request the same lease number at the same time; the request of the first one
     * is not on its disk yet.
     */
    private static final String TIE =
            "MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 1, MESSAGE 1 0, TIME 1000 0, DISK 1 0, ";

    /**
     * The second candidate held the lease with this number and lost it; then the disk of the first
     * one continues.
     */
    private static final String HELD =
            TIE
                    + "MESSAGE 1 2, DISK 2 0, DISK 2 0, MESSAGE 2 1, TIME 1000 0, TIME 1000 0, TIME 1000 0, ";

    private static final Walk GIVEN_UP = new Walk(LEASE, 40, FEW, HELD + "DISK 0 0, MESSAGE 0 1");

    /** The same, and the member that granted it requested a higher number without success. */
    private static final Walk VOTED =
            new Walk(
                    LEASE,
                    40,
                    FEW,
                    HELD
                            + "MESSAGE 1 2, MESSAGE 2 1, MESSAGE 1 2, TIME 1000 0, DISK 2 0, "
                            + "TIME 1000 0, TIME 1000 0, DISK 0 0, MESSAGE 0 2");

    /**
     * The first candidate got the lease; the second requested the next number and abandoned it
     * after learning of the holder.
     */
    private static final Walk LOST =
            new Walk(
                    LEASE,
                    60,
                    FEW,
                    TIE
                            + "DISK 0 0, MESSAGE 0 2, DISK 2 0, DISK 2 0, MESSAGE 2 0, "
                            + "MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 1, TIME 250 0, ".repeat(6)
                            + "DISK 1 0, DISK 1 0, MESSAGE 0 2, MESSAGE 2 0, MESSAGE 2 1, "
                            + "MESSAGE 0 1, TIME 50 0, MESSAGE 0 1, DISK 1 0, CRASH 0 0, TIME 1000 0, TIME 1000 0, MESSAGE 1 2, MESSAGE 2 1, MESSAGE 1 2, "
                            + "TIME 1000 0");

    private static final List<Walk> SERVING =
            List.of(
                    new Walk(SERVED, 200, Map.of()),
                    new Walk(SERVED_SETS, 200, Map.of(Kind.SETS, 4)),
                    new Walk(DUTY, 400, Map.of()),
                    new Walk(DUTY_SETS, 800, Map.of()));
    static final String MET =
            "MESSAGE 1 0, MESSAGE 2 0, MESSAGE 0 1, MESSAGE 0 2, MESSAGE 1 0, MESSAGE 2 0";

    /**
     * A server report is on the disk of one process and known to another, which may lose power.
     */
    private static final Walk AGAIN =
            new Walk(
                    SERVED,
                    40,
                    Map.of(Kind.CUT, 0, Kind.EMPTY, 0, Kind.CRASH, 4),
                    MET + ", SERVER 1 1, DISK 1 0");

    /** Two records are in flight in one message, the older one second. */
    private static final Walk RECORDED =
            new Walk(
                    SERVED,
                    40,
                    Map.of(Kind.CUT, 0, Kind.EMPTY, 0),
                    MET + ", RECORD 0 1, RECORD 0 0");

    /** A member that stored a record loses its disk. */
    private static final Walk EMPTIED_RECORD =
            new Walk(
                    SERVED,
                    40,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.EMPTY, 4, Kind.SERVER, 0),
                    MET + ", RECORD 0 0, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, CRASH 1 0");

    /**
     * The lease holder has issued records, and a larger member set is in progress whose new members
     * have not promised the lease.
     */
    private static final Walk GROWING =
            new Walk(
                    DUTY_SETS,
                    60,
                    Map.of(
                            Kind.SENT,
                            0,
                            Kind.OLD,
                            0,
                            Kind.CUT,
                            0,
                            Kind.EMPTY,
                            0,
                            Kind.CRASH,
                            0,
                            Kind.SERVER,
                            0,
                            Kind.TIME,
                            0),
                    "MESSAGE 2 0, MESSAGE 1 0, MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 2, MESSAGE 4 1, TIME 250 0, TIME 250 0, DISK 1 0, "
                            + "CRASH 0 1, MESSAGE 1 2, DISK 2 0, MESSAGE 2 1, START 0 0, RECORD 1 1, DISK 1 0, RECORD 1 0, DISK 1 0, MESSAGE 3 1, MESSAGE 1 0, "
                            + "MESSAGE 0 3, MESSAGE 3 4, DISK 0 0, SETS 1 9, DISK 4 0, DISK 1 0, MESSAGE 1 0, SETS 1 31, DISK 0 0, MESSAGE 0 1, DISK 1 0");

    /**
     * A new process replaces a member that does not know of it: the joint value is decided, and a
     * server reports to that member.
     */
    private static final String JOINS =
            MET
                    + ", MESSAGE 3 0, MESSAGE 0 3, MESSAGE 1 2, MESSAGE 2 1, SETS 0 13, DISK 0 0, MESSAGE 0 2, DISK 2 0, MESSAGE 2 0, DISK 0 0, "
                    + "MESSAGE 0 2, MESSAGE 0 3, DISK 2 0, DISK 3 0";

    static final String KEPT_BEGINS = MET + ", SERVER 1 1, RECORD 0 0";
    static final String KEPT_JOINT = JOINS + ", SERVER 1 1, RECORD 0 0";
    static final String KEPT_SETTLING =
            JOINS
                    + ", MESSAGE 2 0, MESSAGE 3 0, SERVER 1 1, DISK 1 0, SETS 0 0, TIME 50 0, DISK 0 0";
    private static final Walk JOINED =
            new Walk(
                    SERVED_SETS,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.EMPTY, 0, Kind.CRASH, 0),
                    JOINS
                            + ", MESSAGE 2 0, MESSAGE 3 0, SERVER 1 1, DISK 1 0, SETS 0 0, TIME 50 0, DISK 0 0, MESSAGE 0 2, DISK 2 0");

    /**
     * A member does not respond and the lease holder replaces it by a new process: the joint value
     * is decided.
     */
    private static final String SILENT =
            "MESSAGE 2 0, MESSAGE 1 0, MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 2, TIME 250 0, TIME 250 0, DISK 1 0, CRASH 0 1, "
                    + "MESSAGE 1 2, DISK 2 0, MESSAGE 2 1, RECORD 1 1, SERVER 2 1, MESSAGE 3 1, MESSAGE 1 3, SETS 1 14, DISK 1 0, DISK 1 0, MESSAGE 1 2, DISK 2 0, "
                    + "DISK 2 0, DISK 2 0, MESSAGE 2 1, DISK 1 0, DISK 1 0, MESSAGE 1 2, MESSAGE 1 3, DISK 2 0, DISK 2 0, DISK 3 0, DISK 3 0, MESSAGE 2 1, "
                    + "MESSAGE 3 1";

    private static final List<Walk> WALKS =
            List.of(
                    new Walk(POWER, 200, Map.of()),
                    new Walk(SETS, 300, Map.of()),
                    new Walk(ALL, 800, Map.of()),
                    new Walk(FOUNDED, 300, Map.of()),
                    new Walk(FIVE, 800, Map.of()),
                    new Walk(LEASE, 300, Map.of()),
                    new Walk(LEASE_SETS, 600, Map.of()),
                    new Walk(POWER, 1_000, Map.of()),
                    new Walk(CHANGES, 200, Map.of(Kind.SETS, 4)),
                    new Walk(SERVED, 200, Map.of()),
                    new Walk(SERVED_SETS, 300, Map.of()),
                    new Walk(DUTY, 400, Map.of()),
                    new Walk(DUTY_SETS, 800, Map.of()),
                    new Walk(SERVED_SETS, 200, Map.of(Kind.SETS, 8, Kind.TIME, 3), KEPT_JOINT),
                    new Walk(DUTY_SETS, 300, Map.of(Kind.SETS, 8), SILENT));

    /** Starting points of the explorations. */
    private static final List<Begun> BEGUN =
            List.of(
                    new Begun("duel", DUEL, DUEL_BEGINS),
                    new Begun("loss", LOSS, LOSS_BEGINS),
                    new Begun("first", FIRST, ""),
                    new Begun("replaced", REPLACED, REPLACED_BEGINS),
                    new Begun("replaced by one", JOINT, REPLACED_BY_ONE),
                    new Begun("replaced by old", JOINT, REPLACED_BY_OLD),
                    new Begun("replaced settling", JOINT, REPLACED_SETTLING),
                    new Begun("kept", KEPT, KEPT_BEGINS),
                    new Begun("kept joint", KEPT_SETS, KEPT_JOINT),
                    new Begun("kept settling", KEPT_SETS, KEPT_SETTLING));

    /** Walks that detect the absence of a safety rule soonest; any walk detects the others. */
    private static final Map<SafetyRule, List<Walk>> NEAREST =
            Map.ofEntries(
                    Map.entry(SafetyRule.PROMISE_ON_DISK, List.of(PROMISED)),
                    Map.entry(SafetyRule.BALLOT_ON_DISK, List.of(OFFERED)),
                    Map.entry(SafetyRule.SETS_ON_DECIDED, List.of(UNDECIDED)),
                    Map.entry(SafetyRule.JOINT_MAJORITIES, List.of(CHANGING)),
                    Map.entry(SafetyRule.PROMISE_KEPT, List.of(DUELLING)),
                    Map.entry(SafetyRule.SETS_BY_HOLDER, List.of(SEVERAL)),
                    Map.entry(SafetyRule.OLDER_EPOCHS, List.of(OVER)),
                    Map.entry(SafetyRule.FOUNDER_HEARS_ALL, List.of(FOUNDING)),
                    Map.entry(SafetyRule.NEW_ID, List.of(EMPTIED)),
                    Map.entry(SafetyRule.READ_BY_ITS_SETS, List.of(DROPPED)),
                    Map.entry(SafetyRule.ROWS_ON_DISK, SERVING),
                    Map.entry(SafetyRule.ROWS_OF_THIS_LIFE, List.of(AGAIN)),
                    Map.entry(SafetyRule.ROWS_WITHOUT_GAP, List.of(AGAIN)),
                    Map.entry(SafetyRule.ROWS_FORWARD, SERVING),
                    Map.entry(SafetyRule.ROWS_UNDER_EPOCH, List.of(JOINED)),
                    Map.entry(SafetyRule.ROWS_OF_LEAVES, SERVING),
                    Map.entry(SafetyRule.RECORDS_ON_DISK, SERVING),
                    Map.entry(SafetyRule.RECORDS_TOGETHER, List.of(RECORDED)),
                    Map.entry(SafetyRule.RECORDS_WITHOUT_GAP, List.of(EMPTIED_RECORD)),
                    Map.entry(SafetyRule.RECORDS_FORWARD, List.of(RECORDED)),
                    Map.entry(SafetyRule.RECORDS_OF_MAJORITY, List.of(AGAIN)),
                    Map.entry(SafetyRule.NUMBERS_ONCE, List.of(GROWING)),
                    Map.entry(SafetyRule.LEASE_TURNS, List.of(TURNING)),
                    Map.entry(SafetyRule.LEASE_ON_DISK, List.of(LEASING)),
                    Map.entry(SafetyRule.LEASE_AFTER_START, List.of(LEASING)),
                    Map.entry(SafetyRule.LEASE_FROM_ASKED, List.of(LEASING)),
                    Map.entry(SafetyRule.LEASE_PROMISE_STANDS, List.of(LEASING)),
                    Map.entry(SafetyRule.LEASE_NEVER_HELD, List.of(GIVEN_UP)),
                    Map.entry(SafetyRule.LEASE_FORMER, List.of(LEASING)),
                    Map.entry(SafetyRule.LEASE_NUMBERS_RISE, List.of(VOTED)),
                    Map.entry(SafetyRule.LEASE_ASKED_ONCE, List.of(LOST)));

    private ControlWorlds() {}

    /** Explores all states up to this depth after the initial steps, in breadth-first order. */
    static Found explore(Scene scene, String first, SafetyRule without, int depth, int most) {
        return explore(scene, first, without, depth, most, false);
    }

    /**
     * Explores like the other overload.
     *
     * @param terse messages are sent only if the state of the sender has changed since the last
     *     one: reaches deeper, but is not exhaustive
     */
    static Found explore(
            Scene scene, String first, SafetyRule without, int depth, int most, boolean terse) {
        Set<Long> seen = new HashSet<>();
        ArrayDeque<Step[]> next =
                new ArrayDeque<>(Collections.singleton(steps(first).toArray(new Step[0])));
        int begin = next.peek().length;
        ControlWorld there = played(scene, without, 0, Arrays.asList(next.peek()));
        if (there.broken == null && there.steps.size() < begin) {
            throw new IllegalArgumentException("some of these initial steps are not possible: " + first);
        }
        int deepest = 0;
        while (!next.isEmpty() && seen.size() < most) {
            Step[] path = next.poll();
            ControlWorld world = played(scene, without, 0, Arrays.asList(path));
            if (world.broken != null) {
                return new Found(seen.size(), path.length - begin, false, told(world));
            }
            if (!seen.add(hash(world.state()))) {
                continue;
            }
            deepest = Math.max(deepest, path.length - begin);
            if (path.length - begin < depth) {
                for (Step step : world.choices()) {
                    if (terse
                            && step.kind() == Kind.MESSAGE
                            && !world.processes[step.a()].news[step.b()]) {
                        continue;
                    }
                    Step[] longer = Arrays.copyOf(path, path.length + 1);
                    longer[path.length] = step;
                    next.add(longer);
                }
            }
        }
        return new Found(seen.size(), deepest, next.isEmpty(), null);
    }

    private static long hash(String of) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < of.length(); i++) {
            hash = (hash ^ of.charAt(i)) * 0x100000001b3L;
            hash ^= hash >>> 29;
        }
        return hash;
    }

    private static ControlWorld played(
            Scene scene, SafetyRule without, long seed, List<Step> steps) {
        ControlWorld world = new ControlWorld(scene, without, seed);
        for (Step step : steps) {
            if (world.broken == null && world.can(step)) {
                world.step(step);
            }
        }
        return world;
    }

    /** Replays steps as {@link #told} writes them. */
    static ControlWorld played(Scene scene, long seed, String steps) {
        return played(scene, null, seed, steps);
    }

    /** Replays steps with this safety rule disabled. */
    static ControlWorld played(Scene scene, SafetyRule without, long seed, String steps) {
        return played(scene, without, seed, steps(steps));
    }

    private static List<Step> steps(String text) {
        List<Step> path = new ArrayList<>();
        for (String one : text.isEmpty() ? new String[0] : text.split(", ")) {
            String[] parts = one.split(" ");
            path.add(
                    new Step(
                            Kind.valueOf(parts[0]),
                            Integer.parseInt(parts[1]),
                            Integer.parseInt(parts[2])));
        }
        return path;
    }

    static String told(ControlWorld world) {
        return world.broken + " after " + world.steps;
    }

    /**
     * Returns the weight of each kind of step, drawn for each walk so that some walks concentrate
     * on few kinds.
     */
    private static double[] weights(Scene scene, SplittableRandom random) {
        double[] weights = new double[Kind.values().length];
        weights[Kind.MESSAGE.ordinal()] = 50;
        weights[Kind.DISK.ordinal()] = 25;
        weights[Kind.TIME.ordinal()] = scene.lease() ? 12 : 5;
        weights[Kind.ORDER.ordinal()] = 3;
        weights[Kind.GIVE_UP.ordinal()] = 2;
        weights[Kind.READ.ordinal()] = 2;
        weights[Kind.SENT.ordinal()] = 3;
        weights[Kind.OLD.ordinal()] = 3;
        weights[Kind.CRASH.ordinal()] = 1;
        weights[Kind.START.ordinal()] = 15;
        weights[Kind.EMPTY.ordinal()] = 1;
        weights[Kind.REFUSED.ordinal()] = 0.5;
        weights[Kind.SETS.ordinal()] = 3;
        weights[Kind.SERVER.ordinal()] = 2;
        weights[Kind.RECORD.ordinal()] = 2;
        weights[Kind.CUT.ordinal()] = 1;
        weights[Kind.JOIN.ordinal()] = 2;
        double[] factors = {0.2, 1, 1, 3};
        for (int i = 0; i < (scene.duty() ? weights.length : Kind.SERVER.ordinal()); i++) {
            weights[i] *= factors[random.nextInt(factors.length)];
        }
        weights[Kind.ORDER.ordinal()] *= Math.min(1, scene.orders());
        weights[Kind.READ.ordinal()] *= Math.min(1, scene.reads());
        weights[Kind.SETS.ordinal()] *= Math.min(1, scene.sets());
        weights[Kind.EMPTY.ordinal()] *= Math.min(1, scene.empties());
        weights[Kind.SERVER.ordinal()] *= Math.min(1, scene.servers());
        weights[Kind.RECORD.ordinal()] *= Math.min(1, scene.records());
        return weights;
    }

    /**
     * Takes one random walk in phases; in each phase some links and disks are fast and others
     * stall.
     */
    static ControlWorld walk(Walk walk, SafetyRule without, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] weights = weights(walk.scene, random);
        walk.more.forEach((kind, factor) -> weights[kind.ordinal()] *= factor);
        ControlWorld world = played(walk.scene, without, seed, steps(walk.first));
        int n = walk.scene.processes();
        int spell = 5 + random.nextInt(30);
        double[] links = new double[n * n];
        double[] disks = new double[n];
        Kind[] kinds = Kind.values();
        for (int i = 0; i < walk.length && world.broken == null; i++) {
            if (i == 0 || random.nextInt(spell) == 0) {
                for (int k = 0; k < links.length; k++) {
                    links[k] = SPEEDS[random.nextInt(SPEEDS.length)];
                }
                for (int k = 0; k < n; k++) {
                    disks[k] = SPEEDS[random.nextInt(SPEEDS.length)];
                }
            }
            Kind kind = kinds[drawn(weights, random)];
            Step step = drawn(world, kind, links, disks, random);
            for (int again = 0; again < TRIES && !world.can(step); again++) {
                step = drawn(world, kind, links, disks, random);
            }
            if (world.can(step)) {
                world.step(step);
            }
        }
        return world;
    }

    private static int drawn(double[] weights, SplittableRandom random) {
        double all = 0;
        for (double weight : weights) {
            all += weight;
        }
        double dice = random.nextDouble() * all;
        int at = 0;
        while (at < weights.length - 1 && dice >= weights[at]) {
            dice -= weights[at++];
        }
        return at;
    }

    private static Step drawn(
            ControlWorld world,
            Kind kind,
            double[] links,
            double[] disks,
            SplittableRandom random) {
        int n = world.scene.processes();
        int a = random.nextInt(n);
        int b = 0;
        switch (kind) {
            case MESSAGE, SENT -> {
                // Mostly processes with new state to send.
                boolean any = random.nextInt(6) == 0;
                double[] now = links.clone();
                for (int k = 0; k < now.length; k++) {
                    now[k] *= any || world.processes[k / n].news[k % n] ? 1 : 0;
                }
                int link = drawn(now, random);
                a = link / n;
                b = link % n;
            }
            case DISK -> {
                double[] now = disks.clone();
                for (int k = 0; k < n; k++) {
                    now[k] *= world.processes[k].disk().isEmpty() ? 0 : 1;
                }
                a = drawn(now, random);
            }
            case CUT, JOIN -> b = random.nextInt(n);
            case OLD -> a = random.nextInt(world.steps.size() + 1);
            case REFUSED -> b = random.nextInt(2);
            case CRASH -> {
                // Mostly processes with pending writes to lose.
                for (int k = 0; k < n && world.processes[a].disk().isEmpty(); k++) {
                    a = random.nextInt(n);
                }
                b =
                        world.processes[a].register == null || random.nextBoolean()
                                ? 0
                                : random.nextInt(world.processes[a].disk().size() + 1);
            }
            case TIME -> {
                int dice = random.nextInt(20);
                a = dice < 12 ? 10 : dice < 17 ? 50 : dice < 19 ? 250 : 1_000;
            }
            case ORDER -> {
                a = random.nextInt(2);
                b = random.nextInt(n) + 8 * (1 + random.nextInt(world.scene.numbers()));
            }
            case GIVE_UP -> a = random.nextInt(2);
            case SERVER -> b = random.nextInt(6);
            case RECORD -> b = random.nextInt(2);
            case SETS -> b = random.nextBoolean() ? 0 : random.nextInt(1 << n);
            default -> {}
        }
        return new Step(kind, a, b);
    }

    /**
     * Returns the same violation with as few steps as possible: removes steps that are not needed,
     * later ones first.
     */
    static ControlWorld shortest(Scene scene, SafetyRule without, long seed, ControlWorld broken) {
        List<Step> steps = new ArrayList<>(broken.steps);
        ControlWorld best = broken;
        for (int size = Math.max(1, steps.size() / 2); size > 0; size = size > 1 ? size / 2 : 0) {
            boolean again = true;
            while (again) {
                again = false;
                for (int at = steps.size() - size; at >= 0; at -= size) {
                    List<Step> fewer = new ArrayList<>(steps.subList(0, at));
                    fewer.addAll(steps.subList(at + size, steps.size()));
                    ControlWorld world = played(scene, without, seed, fewer);
                    if (world.broken != null) {
                        best = world;
                        steps = new ArrayList<>(world.steps);
                        at = Math.min(at, steps.size() - size + 1);
                        again = size == 1;
                    }
                }
            }
        }
        return best;
    }

    /**
     * Takes walks with this safety rule disabled until one violates an invariant; returns null if
     * none does within the number of walks or the time.
     */
    static String hunt(SafetyRule without, long seed, int most, long until) {
        List<Walk> walks = without == null ? WALKS : NEAREST.getOrDefault(without, WALKS);
        for (int i = 0; i < most && System.nanoTime() < until; i++) {
            Walk walk = walks.get(i % walks.size());
            ControlWorld world = walk(walk, without, seed + i);
            if (world.broken != null) {
                ControlWorld least = shortest(walk.scene, without, seed + i, world);
                String also =
                        without == null
                                ? null
                                : played(walk.scene, null, seed + i, least.steps).broken;
                return also != null ? null : told(least);
            }
        }
        return null;
    }

    /**
     * Runs for about this time on two threads: exploration first, then walks with all safety rules
     * enabled up to two fifths of the time, then walks with one rule disabled after the other.
     */
    public static Result run(long seed, long budgetMs) {
        long begun = System.nanoTime();
        long budget = budgetMs * 1_000_000;
        int most = (int) Math.max(200, budgetMs / 50);
        ExecutorService two = Executors.newFixedThreadPool(THREADS);
        try {
            List<Future<Found>> seen = new ArrayList<>();
            for (Begun one : BEGUN) {
                seen.add(two.submit(() -> explore(one.scene, one.first, null, 40, most)));
            }
            List<Future<Found>> walked = new ArrayList<>();
            for (int t = 0; t < THREADS; t++) {
                int first = t;
                walked.add(two.submit(() -> walks(seed, first, begun + budget * 2 / 5)));
            }
            long worlds = 0;
            long steps = 0;
            String broken = null;
            for (Future<Found> one : seen) {
                worlds += one.get().states;
                broken = broken == null ? one.get().broken : broken;
            }
            for (Future<Found> one : walked) {
                worlds += one.get().states;
                steps += one.get().depth;
                broken = broken == null ? one.get().broken : broken;
            }
            TreeMap<SafetyRule, String> caught = new TreeMap<>();
            List<SafetyRule> missed = List.of(SafetyRule.values());
            // Undetected safety rules are tried again in the remaining time.
            for (long pass = 0;
                    !missed.isEmpty() && (pass == 0 || System.nanoTime() - begun < budget);
                    pass++) {
                caught.putAll(caught(missed, seed + pass * MANY * MANY, begun + budget, two));
                missed = missed.stream().filter(one -> !caught.containsKey(one)).toList();
            }
            return new Result(worlds, steps, broken, caught, missed);
        } catch (InterruptedException | ExecutionException fault) {
            throw new IllegalStateException(fault);
        } finally {
            two.shutdownNow();
        }
    }

    private static Map<SafetyRule, String> caught(
            List<SafetyRule> which, long seed, long end, ExecutorService by)
            throws InterruptedException, ExecutionException {
        Map<SafetyRule, Future<String>> hunts = new LinkedHashMap<>();
        AtomicInteger left = new AtomicInteger(which.size());
        for (SafetyRule one : which) {
            hunts.put(
                    one,
                    by.submit(
                            () -> {
                                long now = System.nanoTime();
                                return hunt(
                                        one,
                                        seed,
                                        Integer.MAX_VALUE,
                                        now
                                                + Math.max(0, end - now)
                                                        * THREADS
                                                        / Math.max(
                                                                THREADS, left.getAndDecrement()));
                            }));
        }
        Map<SafetyRule, String> caught = new TreeMap<>();
        for (Map.Entry<SafetyRule, Future<String>> one : hunts.entrySet()) {
            if (one.getValue().get() != null) {
                caught.put(one.getKey(), one.getValue().get());
            }
        }
        return caught;
    }

    /**
     * Takes every second walk with all safety rules enabled; returns the number of walks, their
     * steps and the first violation.
     */
    private static Found walks(long seed, int first, long until) {
        int count = 0;
        int steps = 0;
        for (long i = first; System.nanoTime() < until; i += THREADS) {
            Walk walk = WALKS.get((int) (i / THREADS % WALKS.size()));
            ControlWorld world = walk(walk, null, seed + i);
            count++;
            steps += world.steps.size();
            if (world.broken != null) {
                return new Found(
                        count, steps, false, told(shortest(walk.scene, null, seed + i, world)));
            }
        }
        return new Found(count, steps, false, null);
    }

    /**
     * Arguments: the seed, the time in milliseconds, and one safety rule to disable, EACH for every
     * rule in turn, or ALL for walks with all rules enabled; or BREADTH or TERSE and a depth, in
     * which case the second argument is the maximum number of states.
     */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        long budget = args.length > 1 ? Long.parseLong(args[1]) : 15_000;
        if (args.length > 2 && args[2].equals("BREADTH")
                || args.length > 2 && args[2].equals("TERSE")) {
            int depth = Integer.parseInt(args[3]);
            for (Begun one : BEGUN) {
                long begun = System.nanoTime();
                System.out.println(
                        one.name
                                + ": "
                                + explore(
                                        one.scene,
                                        one.first,
                                        null,
                                        depth,
                                        (int) budget,
                                        args[2].equals("TERSE"))
                                + " "
                                + (System.nanoTime() - begun) / 1_000_000
                                + " ms");
            }
            return;
        }
        if (args.length > 2) {
            for (SafetyRule one :
                    args[2].equals("EACH")
                            ? SafetyRule.values()
                            : new SafetyRule[] {
                                args[2].equals("ALL") ? null : SafetyRule.valueOf(args[2])
                            }) {
                long begun = System.nanoTime();
                String trace = hunt(one, seed, Integer.MAX_VALUE, begun + budget * 1_000_000);
                System.out.println(
                        (System.nanoTime() - begun) / 1_000_000
                                + " ms, "
                                + (one == null ? "with all: " : "without " + one + ": ")
                                + trace);
            }
            return;
        }
        Result result = run(seed, budget);
        result.caught.forEach(
                (defence, trace) -> System.out.println("without " + defence + ": " + trace));
        result.missed.forEach(
                defence -> System.out.println("without " + defence + ": nothing broke"));
        if (result.broken != null) {
            System.out.println("BROKEN with all defences: " + result.broken);
        }
        System.out.println("steps=" + result.steps);
        System.out.println(
                "worlds="
                        + result.worlds
                        + " defences="
                        + SafetyRule.values().length
                        + " defences_caught="
                        + result.caught.size());
        if (result.broken != null) {
            System.exit(1);
        }
    }
}
