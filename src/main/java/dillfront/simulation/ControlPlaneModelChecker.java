package dillfront.simulation;

import dillfront.controlplane.consensus.SafetyRule;
import dillfront.simulation.ControlPlaneModel.Kind;
import dillfront.simulation.ControlPlaneModel.ModelLimits;
import dillfront.simulation.ControlPlaneModel.Step;
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
 * Small worlds of the control side gone through: all that may happen up to a depth, nearest first,
 * and random walks far beyond it; and the same without one defence after the other, where it must
 * break.
 */
public final class ControlPlaneModelChecker {

    /**
     * @param statesAndWalks states that were reached by breadth and walks that were taken, with all
     *     defences
     * @param steps that the walks took
     * @param violation what did not hold with all defences, and how it came about; null where all
     *     held
     * @param detected for each defence that broke something when it was taken out, the trace
     * @param missed those that broke nothing in the time that there was
     */
    public record Result(
            long statesAndWalks,
            long steps,
            String violation,
            TreeMap<SafetyRule, String> detected,
            List<SafetyRule> missed) {}

    /**
     * States that were looked at, the deepest path to one, whether there was no more to see, and
     * what broke.
     */
    record Exploration(int states, int depth, boolean exhaustive, String violation) {}

    /** Two operators, one number, three members. */
    static final ModelLimits TWO_WRITERS =
            new ModelLimits(3, 3, false, false, 1, 2, 0, 0, 0, 0, 0, 0, 0, 0);

    static final String TWO_WRITERS_START = "ORDER 0 8, ORDER 1 9";

    /** An order, and one loss of power; whoever has no answer sends again. */
    static final ModelLimits POWER_LOSS =
            new ModelLimits(3, 3, false, false, 1, 2, 0, 0, 1, 0, 0, 0, 0, 0);

    static final String POWER_LOSS_START = "ORDER 0 8";

    /**
     * One member gives its place to another, while an order is under way at the one that goes; the
     * first process asks for both steps.
     */
    static final ModelLimits MEMBER_REPLACEMENT =
            new ModelLimits(4, 3, false, false, 1, 1, 0, 0, 0, 0, 0, 2, 2, 0);

    /** The same from where the joint value is under way, and one process may lose its power. */
    static final ModelLimits JOINT_REPLACEMENT =
            new ModelLimits(4, 3, false, false, 1, 1, 0, 0, 1, 0, 0, 1, 2, 0);

    private static final String ALL_IN_CONTACT =
            "MESSAGE 0 1, MESSAGE 0 2, MESSAGE 1 0, MESSAGE 2 0, MESSAGE 3 0, MESSAGE 0 3";
    static final String MEMBER_REPLACEMENT_START = ALL_IN_CONTACT + ", SETS 0 11, ORDER 0 10";

    /**
     * The joint value is accepted by the first alone, by a majority of the old set alone, or
     * decided and to be settled.
     */
    static final String JOINT_ON_PROPOSER =
            ALL_IN_CONTACT
                    + ", SETS 0 11, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, DISK 0 0, ORDER 0 10";

    static final String JOINT_ON_OLD_MAJORITY =
            ALL_IN_CONTACT
                    + ", SETS 0 11, DISK 0 0, MESSAGE 0 2, DISK 2 0, MESSAGE 2 0, DISK 0 0, MESSAGE 0 2, DISK 2 0, ORDER 0 10";
    static final String JOINT_FINISHING =
            ALL_IN_CONTACT
                    + ", SETS 0 11, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, DISK 0 0, MESSAGE 0 1, MESSAGE 0 3, "
                    + "DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, TIME 50 0, SETS 0 0, DISK 0 0, ORDER 0 10";

    /**
     * Servers speak and a record is made while members stay; and while one gives its place, where
     * one process may lose its power.
     */
    static final ModelLimits REGISTRY =
            new ModelLimits(3, 3, false, false, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 2, 1);

    static final ModelLimits REGISTRY_REPLACEMENT =
            new ModelLimits(4, 3, false, false, 1, 0, 0, 0, 1, 0, 0, 1, 2, 0, 1, 1);

    /** The first start, with a disk that is emptied. */
    static final ModelLimits FIRST_START =
            new ModelLimits(3, 3, true, false, 1, 1, 0, 0, 1, 1, 0, 0, 0, 0);

    private static final int MAX_REDRAWS = 6;
    private static final int THREADS = 2;
    private static final double[] SPEED_FACTORS = {0, 0.05, 1, 3};
    private static final int UNLIMITED = 1_000;

    /** Members that stay, two operators, power and disks. */
    static final ModelLimits FIXED_MEMBERS =
            new ModelLimits(
                    3, 3, false, false, 2, UNLIMITED, UNLIMITED, UNLIMITED, 8, 2, 3, UNLIMITED, 0,
                    UNLIMITED);

    /** Sets change, and the first process may ask for it. */
    static final ModelLimits MEMBER_CHANGES =
            new ModelLimits(
                    4, 3, false, false, 2, UNLIMITED, UNLIMITED, UNLIMITED, 3, 1, 1, UNLIMITED,
                    UNLIMITED, UNLIMITED);

    /** All of it. */
    static final ModelLimits ALL_STEPS =
            new ModelLimits(
                    5, 3, false, true, 3, UNLIMITED, UNLIMITED, UNLIMITED, 6, 3, 2, UNLIMITED,
                    UNLIMITED, UNLIMITED);

    /** From empty disks; one of them is emptied again. */
    static final ModelLimits BOOTSTRAP =
            new ModelLimits(
                    3, 3, true, true, 2, UNLIMITED, UNLIMITED, UNLIMITED, 6, 1, 2, UNLIMITED,
                    UNLIMITED, UNLIMITED);

    static final ModelLimits FIVE_MEMBERS =
            new ModelLimits(
                    5, 5, false, true, 2, UNLIMITED, UNLIMITED, UNLIMITED, 4, 1, 2, UNLIMITED,
                    UNLIMITED, UNLIMITED);

    /** Who holds the lease, and nothing else: with members that stay, and with others. */
    static final ModelLimits LEASE_ONLY =
            new ModelLimits(
                    3, 3, false, true, 1, 0, 0, UNLIMITED, 3, 0, 1, UNLIMITED, 0, UNLIMITED);

    static final ModelLimits LEASE_MEMBER_CHANGES =
            new ModelLimits(
                    4, 3, false, true, 1, 0, 0, UNLIMITED, 2, 0, 1, UNLIMITED, UNLIMITED,
                    UNLIMITED);

    /** Two members more, who come and go, with nothing else. */
    static final ModelLimits MEMBER_CHANGES_ONLY =
            new ModelLimits(
                    4, 3, false, false, 2, UNLIMITED, UNLIMITED, UNLIMITED, 0, 0, 0, UNLIMITED,
                    UNLIMITED, 0);

    /**
     * Servers and records, with members that stay, and with others; the first process has the duty,
     * or whoever holds the lease.
     */
    static final ModelLimits SERVERS =
            new ModelLimits(
                    3, 3, false, false, 1, 0, 0, UNLIMITED, 6, 2, 0, 0, 0, UNLIMITED, UNLIMITED,
                    UNLIMITED);

    static final ModelLimits SERVERS_MEMBER_CHANGES =
            new ModelLimits(
                    4, 3, false, false, 1, 0, 0, UNLIMITED, 4, 2, 0, UNLIMITED, UNLIMITED,
                    UNLIMITED, UNLIMITED, UNLIMITED);
    static final ModelLimits COORDINATOR =
            new ModelLimits(
                    3, 3, false, true, 1, 0, 0, UNLIMITED, 6, 2, 0, UNLIMITED, 0, UNLIMITED,
                    UNLIMITED, UNLIMITED);
    static final ModelLimits COORDINATOR_MEMBER_CHANGES =
            new ModelLimits(
                    5, 3, false, true, 1, 0, 0, UNLIMITED, 6, 2, 0, UNLIMITED, UNLIMITED, UNLIMITED,
                    UNLIMITED, UNLIMITED);

    /**
     * A scene, how long a walk through it is, and what happens more often there than elsewhere.
     *
     * @param weightFactors a factor for a kind
     * @param initialSteps steps that it begins with
     */
    record Walk(
            ModelLimits limits, int length, Map<Kind, Integer> weightFactors, String initialSteps) {
        Walk(ModelLimits limits, int length, Map<Kind, Integer> weightFactors) {
            this(limits, length, weightFactors, "");
        }
    }

    /** Where exploration begins. */
    private record StartingPoint(String name, ModelLimits limits, String initialSteps) {}

    private static final Map<Kind, Integer> RELIABLE_LINKS =
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

    /** A member's promise was told to one proposer, and is asked for by another; power may go. */
    private static final Walk COMPETING_PROMISE =
            new Walk(
                    FIXED_MEMBERS,
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

    private static final Walk COMPETING_PROPOSERS =
            new Walk(
                    FIXED_MEMBERS,
                    60,
                    RELIABLE_LINKS,
                    "ORDER 0 18, DISK 2 0, ORDER 1 25, MESSAGE 0 2, DISK 1 0, MESSAGE 0 1, "
                            + "MESSAGE 1 0");

    /** A proposer has offered a value to one member, and its power may go. */
    private static final Walk VALUE_SENT =
            new Walk(
                    FIXED_MEMBERS,
                    60,
                    RELIABLE_LINKS,
                    "ORDER 0 18, MESSAGE 0 2, MESSAGE 2 0, DISK 0 0, MESSAGE 0 2, MESSAGE 2 0, DISK 0 0, CRASH 2 0");

    /**
     * One member has accepted the first step of a change, and without the defence the second, that
     * no other knows of.
     */
    private static final Walk UNDECIDED_CHANGE =
            new Walk(
                    MEMBER_CHANGES_ONLY,
                    60,
                    RELIABLE_LINKS,
                    "MESSAGE 1 0, MESSAGE 2 1, MESSAGE 3 0, SETS 0 9, DISK 0 0, MESSAGE 0 1, "
                            + "DISK 1 0, MESSAGE 1 0, DISK 0 0, TIME 250 0, ORDER 1 9, DISK 1 0, MESSAGE 1 0, DISK 0 0, TIME 250 0, SETS 0 0, DISK 0 0, "
                            + "MESSAGE 0 1, MESSAGE 0 3, DISK 1 0, DISK 3 0, MESSAGE 1 0, MESSAGE 3 0, DISK 0 0, TIME 250 0, DISK 1 0, MESSAGE 1 0, DISK 0 0, "
                            + "TIME 250 0");

    /**
     * A set was dropped, and one that belonged to it does not know; an order is under way in the
     * new one.
     */
    private static final Walk REPLACED_SET =
            new Walk(
                    MEMBER_CHANGES,
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
     * An order was decided, another set is asked for, and another order is under way at one that is
     * left out.
     */
    private static final Walk CHANGE_DURING_WRITE =
            new Walk(
                    MEMBER_CHANGES_ONLY,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.READ, 0),
                    "MESSAGE 1 0, ORDER 0 16, "
                            + "DISK 0 0, MESSAGE 0 1, MESSAGE 1 0, DISK 1 0, SETS 0 1, ORDER 1 18, MESSAGE 1 0");

    /** Several ask for other sets, where the defence is out, and some hold the lease by them. */
    private static final Walk SEVERAL_PROPOSERS =
            new Walk(
                    LEASE_MEMBER_CHANGES,
                    100,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.CRASH, 0),
                    "MESSAGE 0 3, TIME 1000 0, DISK 0 0, MESSAGE 0 1, DISK 2 0, MESSAGE 1 2, MESSAGE 3 2, MESSAGE 2 1, TIME 10 0, "
                            + "MESSAGE 1 0, DISK 1 0, SETS 1 5, MESSAGE 2 3, MESSAGE 1 2, DISK 3 0, MESSAGE 2 3, TIME 10 0, SETS 3 5, "
                            + "TIME 50 0, TIME 50 0, TIME 10 0, DISK 1 0, SETS 2 10, TIME 50 0, DISK 1 0, DISK 3 0, MESSAGE 3 2, "
                            + "TIME 50 0, DISK 2 0, TIME 250 0, TIME 10 0, DISK 2 0, DISK 0 0, MESSAGE 0 2, TIME 10 0, MESSAGE 3 1, "
                            + "DISK 2 0, DISK 1 0, SETS 2 2, MESSAGE 2 0, MESSAGE 2 1, DISK 1 0, MESSAGE 1 2, SETS 2 4, DISK 2 0");

    /** The founder has heard one of two. */
    private static final Walk PARTIAL_BOOTSTRAP =
            new Walk(
                    BOOTSTRAP,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.EMPTY, 4, Kind.CRASH, 3),
                    "MESSAGE 0 1, MESSAGE 1 0, DISK 0 0, MESSAGE 0 1, CRASH 0 0, DISK 1 0");

    /** An order was acknowledged, and one that accepted it is down. */
    private static final Walk ACCEPTOR_DOWN =
            new Walk(
                    FIXED_MEMBERS,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.EMPTY, 8, Kind.CRASH, 3),
                    "MESSAGE 1 0, ORDER 0 16, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, CRASH 0 0");

    private static final Walk LEASE_WALK = new Walk(LEASE_ONLY, 200, Map.of());

    /**
     * A member promised the lease to one whose disk then does nothing, and another, which asked
     * before, asks for a higher number.
     */
    private static final Walk CHANGING_PROMISE =
            new Walk(
                    LEASE_ONLY,
                    60,
                    Map.of(Kind.CRASH, 0, Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0),
                    "MESSAGE 1 2, MESSAGE 2 1, "
                            + "TIME 600 0, DISK 1 0, CRASH 1 0, START 1 0, MESSAGE 0 2, MESSAGE 2 0, MESSAGE 1 2, MESSAGE 2 1, TIME 250 0, DISK 0 0, DISK 0 0, "
                            + "DISK 1 0, MESSAGE 0 2, DISK 2 0, DISK 2 0, MESSAGE 1 0, "
                            + "MESSAGE 1 2, MESSAGE 2 1, TIME 1000 0, DISK 1 0, ".repeat(3)
                            + "MESSAGE 1 2");

    /**
     * The holder is at work with a set of its own choice; a member of the former one asks another
     * of them for the lease.
     */
    private static final Walk FORMER_MEMBERS =
            new Walk(
                    LEASE_MEMBER_CHANGES,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CRASH, 0, Kind.CUT, 0),
                    "MESSAGE 0 1, MESSAGE 1 0, TIME 50 0, MESSAGE 3 0, TIME 50 0, TIME 50 0, TIME 50 0, TIME 50 0, DISK 0 0, "
                            + "MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, SETS 0 9, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, DISK 0 0, "
                            + "MESSAGE 0 1, MESSAGE 0 3, DISK 1 0, DISK 3 0, MESSAGE 0 3, MESSAGE 1 0, MESSAGE 3 0, DISK 3 0, MESSAGE 3 0, "
                            + "TIME 50 0, SETS 0 0, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, MESSAGE 0 3, DISK 3 0, MESSAGE 3 0, "
                            + "DISK 0 0, TIME 250 0, TIME 250 0, TIME 250 0, MESSAGE 0 3, MESSAGE 3 0, TIME 250 0, TIME 250 0, TIME 250 0, "
                            + "MESSAGE 2 1, SENT 1 2, MESSAGE 1 2, TIME 250 0, TIME 250 0, DISK 2 0, TIME 250 0, TIME 250 0, DISK 2 0");

    private static final Map<Kind, Integer> RELIABLE_PROCESSES =
            Map.of(Kind.CRASH, 0, Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.REFUSED, 0);

    /**
     * Two ask for one number in the same moment; what the first one asked for is not on its disk
     * yet.
     */
    private static final String LEASE_TIE =
            "MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 1, MESSAGE 1 0, TIME 1000 0, DISK 1 0, ";

    /** The second one held the lease by it, and lost it; the first one's disk goes on. */
    private static final String TIE_WINNER_EXPIRED =
            LEASE_TIE
                    + "MESSAGE 1 2, DISK 2 0, DISK 2 0, MESSAGE 2 1, TIME 1000 0, TIME 1000 0, TIME 1000 0, ";

    private static final Walk TIE_ABANDONED =
            new Walk(
                    LEASE_ONLY,
                    40,
                    RELIABLE_PROCESSES,
                    TIE_WINNER_EXPIRED + "DISK 0 0, MESSAGE 0 1");

    /** The same, and whoever promised it asked for a higher one, in vain. */
    private static final Walk TIE_VOTER_REQUESTED =
            new Walk(
                    LEASE_ONLY,
                    40,
                    RELIABLE_PROCESSES,
                    TIE_WINNER_EXPIRED
                            + "MESSAGE 1 2, MESSAGE 2 1, MESSAGE 1 2, TIME 1000 0, DISK 2 0, "
                            + "TIME 1000 0, TIME 1000 0, DISK 0 0, MESSAGE 0 2");

    /** The first one got it; the second asked for the next, and gave that up once it saw so. */
    private static final Walk TIE_LOSER_ABANDONED =
            new Walk(
                    LEASE_ONLY,
                    60,
                    RELIABLE_PROCESSES,
                    LEASE_TIE
                            + "DISK 0 0, MESSAGE 0 2, DISK 2 0, DISK 2 0, MESSAGE 2 0, "
                            + "MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 1, TIME 250 0, ".repeat(6)
                            + "DISK 1 0, DISK 1 0, MESSAGE 0 2, MESSAGE 2 0, MESSAGE 2 1, "
                            + "MESSAGE 0 1, TIME 50 0, MESSAGE 0 1, DISK 1 0, CRASH 0 0, TIME 1000 0, TIME 1000 0, MESSAGE 1 2, MESSAGE 2 1, MESSAGE 1 2, "
                            + "TIME 1000 0");

    private static final List<Walk> SERVER_WALKS =
            List.of(
                    new Walk(SERVERS, 200, Map.of()),
                    new Walk(SERVERS_MEMBER_CHANGES, 200, Map.of(Kind.SETS, 4)),
                    new Walk(COORDINATOR, 400, Map.of()),
                    new Walk(COORDINATOR_MEMBER_CHANGES, 800, Map.of()));
    static final String MEMBERS_IN_CONTACT =
            "MESSAGE 1 0, MESSAGE 2 0, MESSAGE 0 1, MESSAGE 0 2, MESSAGE 1 0, MESSAGE 2 0";

    /** A server's word is on the disk of one and known to another, who may lose its power. */
    private static final Walk REPORT_IN_FLIGHT =
            new Walk(
                    SERVERS,
                    40,
                    Map.of(Kind.CUT, 0, Kind.EMPTY, 0, Kind.CRASH, 4),
                    MEMBERS_IN_CONTACT + ", SERVER 1 1, DISK 1 0");

    /** Two records are on their way in one word, the older one second. */
    private static final Walk TWO_RECORDS =
            new Walk(
                    SERVERS,
                    40,
                    Map.of(Kind.CUT, 0, Kind.EMPTY, 0),
                    MEMBERS_IN_CONTACT + ", RECORD 0 1, RECORD 0 0");

    /** A member that had a record loses its disk. */
    private static final Walk RECORD_DISK_LOST =
            new Walk(
                    SERVERS,
                    40,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.EMPTY, 4, Kind.SERVER, 0),
                    MEMBERS_IN_CONTACT
                            + ", RECORD 0 0, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, CRASH 1 0");

    /**
     * The holder of the lease has made records, and a set with more members, whose promises it does
     * not have, is under way.
     */
    private static final Walk GROWING_SET =
            new Walk(
                    COORDINATOR_MEMBER_CHANGES,
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
     * A newcomer takes the place of a member that does not know it: the joint value is decided, and
     * a server speaks to that member.
     */
    private static final String JOINING_MEMBER =
            MEMBERS_IN_CONTACT
                    + ", MESSAGE 3 0, MESSAGE 0 3, MESSAGE 1 2, MESSAGE 2 1, SETS 0 13, DISK 0 0, MESSAGE 0 2, DISK 2 0, MESSAGE 2 0, DISK 0 0, "
                    + "MESSAGE 0 2, MESSAGE 0 3, DISK 2 0, DISK 3 0";

    static final String REGISTRY_START = MEMBERS_IN_CONTACT + ", SERVER 1 1, RECORD 0 0";
    static final String REGISTRY_JOINT = JOINING_MEMBER + ", SERVER 1 1, RECORD 0 0";
    static final String REGISTRY_JOINT_FINISHING =
            JOINING_MEMBER
                    + ", MESSAGE 2 0, MESSAGE 3 0, SERVER 1 1, DISK 1 0, SETS 0 0, TIME 50 0, DISK 0 0";
    private static final Walk JOINED_MEMBER =
            new Walk(
                    SERVERS_MEMBER_CHANGES,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.EMPTY, 0, Kind.CRASH, 0),
                    JOINING_MEMBER
                            + ", MESSAGE 2 0, MESSAGE 3 0, SERVER 1 1, DISK 1 0, SETS 0 0, TIME 50 0, DISK 0 0, MESSAGE 0 2, DISK 2 0");

    /**
     * A member is silent, and the holder of the lease takes a newcomer in for it: the joint value
     * is decided.
     */
    private static final String UNRESPONSIVE_MEMBER =
            "MESSAGE 2 0, MESSAGE 1 0, MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 2, TIME 250 0, TIME 250 0, DISK 1 0, CRASH 0 1, "
                    + "MESSAGE 1 2, DISK 2 0, MESSAGE 2 1, RECORD 1 1, SERVER 2 1, MESSAGE 3 1, MESSAGE 1 3, SETS 1 14, DISK 1 0, DISK 1 0, MESSAGE 1 2, DISK 2 0, "
                    + "DISK 2 0, DISK 2 0, MESSAGE 2 1, DISK 1 0, DISK 1 0, MESSAGE 1 2, MESSAGE 1 3, DISK 2 0, DISK 2 0, DISK 3 0, DISK 3 0, MESSAGE 2 1, "
                    + "MESSAGE 3 1";

    private static final List<Walk> WALKS =
            List.of(
                    new Walk(FIXED_MEMBERS, 200, Map.of()),
                    new Walk(MEMBER_CHANGES, 300, Map.of()),
                    new Walk(ALL_STEPS, 800, Map.of()),
                    new Walk(BOOTSTRAP, 300, Map.of()),
                    new Walk(FIVE_MEMBERS, 800, Map.of()),
                    new Walk(LEASE_ONLY, 300, Map.of()),
                    new Walk(LEASE_MEMBER_CHANGES, 600, Map.of()),
                    new Walk(FIXED_MEMBERS, 1_000, Map.of()),
                    new Walk(MEMBER_CHANGES_ONLY, 200, Map.of(Kind.SETS, 4)),
                    new Walk(SERVERS, 200, Map.of()),
                    new Walk(SERVERS_MEMBER_CHANGES, 300, Map.of()),
                    new Walk(COORDINATOR, 400, Map.of()),
                    new Walk(COORDINATOR_MEMBER_CHANGES, 800, Map.of()),
                    new Walk(
                            SERVERS_MEMBER_CHANGES,
                            200,
                            Map.of(Kind.SETS, 8, Kind.TIME, 3),
                            REGISTRY_JOINT),
                    new Walk(
                            COORDINATOR_MEMBER_CHANGES,
                            300,
                            Map.of(Kind.SETS, 8),
                            UNRESPONSIVE_MEMBER));

    /** From here each is explored. */
    private static final List<StartingPoint> STARTING_POINTS =
            List.of(
                    new StartingPoint("duel", TWO_WRITERS, TWO_WRITERS_START),
                    new StartingPoint("loss", POWER_LOSS, POWER_LOSS_START),
                    new StartingPoint("first", FIRST_START, ""),
                    new StartingPoint("replaced", MEMBER_REPLACEMENT, MEMBER_REPLACEMENT_START),
                    new StartingPoint("replaced by one", JOINT_REPLACEMENT, JOINT_ON_PROPOSER),
                    new StartingPoint("replaced by old", JOINT_REPLACEMENT, JOINT_ON_OLD_MAJORITY),
                    new StartingPoint("replaced settling", JOINT_REPLACEMENT, JOINT_FINISHING),
                    new StartingPoint("kept", REGISTRY, REGISTRY_START),
                    new StartingPoint("kept joint", REGISTRY_REPLACEMENT, REGISTRY_JOINT),
                    new StartingPoint(
                            "kept settling", REGISTRY_REPLACEMENT, REGISTRY_JOINT_FINISHING));

    /** Where a defence is missed soonest; any walk finds the others. */
    private static final Map<SafetyRule, List<Walk>> DETECTING_WALKS =
            Map.ofEntries(
                    Map.entry(SafetyRule.PROMISE_ON_DISK, List.of(COMPETING_PROMISE)),
                    Map.entry(SafetyRule.BALLOT_ON_DISK, List.of(VALUE_SENT)),
                    Map.entry(SafetyRule.SETS_ON_DECIDED, List.of(UNDECIDED_CHANGE)),
                    Map.entry(SafetyRule.JOINT_MAJORITIES, List.of(CHANGE_DURING_WRITE)),
                    Map.entry(SafetyRule.PROMISE_KEPT, List.of(COMPETING_PROPOSERS)),
                    Map.entry(SafetyRule.SETS_BY_HOLDER, List.of(SEVERAL_PROPOSERS)),
                    Map.entry(SafetyRule.OLDER_EPOCHS, List.of(FORMER_MEMBERS)),
                    Map.entry(SafetyRule.FOUNDER_HEARS_ALL, List.of(PARTIAL_BOOTSTRAP)),
                    Map.entry(SafetyRule.NEW_ID, List.of(ACCEPTOR_DOWN)),
                    Map.entry(SafetyRule.READ_BY_ITS_SETS, List.of(REPLACED_SET)),
                    Map.entry(SafetyRule.ROWS_ON_DISK, SERVER_WALKS),
                    Map.entry(SafetyRule.ROWS_OF_THIS_LIFE, List.of(REPORT_IN_FLIGHT)),
                    Map.entry(SafetyRule.ROWS_WITHOUT_GAP, List.of(REPORT_IN_FLIGHT)),
                    Map.entry(SafetyRule.ROWS_FORWARD, SERVER_WALKS),
                    Map.entry(SafetyRule.ROWS_UNDER_EPOCH, List.of(JOINED_MEMBER)),
                    Map.entry(SafetyRule.ROWS_OF_LEAVES, SERVER_WALKS),
                    Map.entry(SafetyRule.RECORDS_ON_DISK, SERVER_WALKS),
                    Map.entry(SafetyRule.RECORDS_TOGETHER, List.of(TWO_RECORDS)),
                    Map.entry(SafetyRule.RECORDS_WITHOUT_GAP, List.of(RECORD_DISK_LOST)),
                    Map.entry(SafetyRule.RECORDS_FORWARD, List.of(TWO_RECORDS)),
                    Map.entry(SafetyRule.RECORDS_OF_MAJORITY, List.of(REPORT_IN_FLIGHT)),
                    Map.entry(SafetyRule.NUMBERS_ONCE, List.of(GROWING_SET)),
                    Map.entry(SafetyRule.LEASE_TURNS, List.of(CHANGING_PROMISE)),
                    Map.entry(SafetyRule.LEASE_ON_DISK, List.of(LEASE_WALK)),
                    Map.entry(SafetyRule.LEASE_AFTER_START, List.of(LEASE_WALK)),
                    Map.entry(SafetyRule.LEASE_FROM_ASKED, List.of(LEASE_WALK)),
                    Map.entry(SafetyRule.LEASE_PROMISE_STANDS, List.of(LEASE_WALK)),
                    Map.entry(SafetyRule.LEASE_NEVER_HELD, List.of(TIE_ABANDONED)),
                    Map.entry(SafetyRule.LEASE_FORMER, List.of(LEASE_WALK)),
                    Map.entry(SafetyRule.LEASE_NUMBERS_RISE, List.of(TIE_VOTER_REQUESTED)),
                    Map.entry(SafetyRule.LEASE_ASKED_ONCE, List.of(TIE_LOSER_ABANDONED)));

    private ControlPlaneModelChecker() {}

    /** All states up to this depth from where these steps lead, nearest first. */
    static Exploration explore(
            ModelLimits limits,
            String initialSteps,
            SafetyRule disabledRule,
            int depth,
            int maxStates) {
        return explore(limits, initialSteps, disabledRule, depth, maxStates, false);
    }

    /**
     * The same.
     *
     * @param terse words are said only where something happened to the speaker since the last:
     *     deeper, and not all there is
     */
    static Exploration explore(
            ModelLimits limits,
            String initialSteps,
            SafetyRule disabledRule,
            int depth,
            int maxStates,
            boolean terse) {
        Set<Long> visited = new HashSet<>();
        ArrayDeque<Step[]> queue =
                new ArrayDeque<>(
                        Collections.singleton(parseSteps(initialSteps).toArray(new Step[0])));
        int initialLength = queue.peek().length;
        ControlPlaneModel start = replay(limits, disabledRule, 0, Arrays.asList(queue.peek()));
        if (start.violation == null && start.steps.size() < initialLength) {
            throw new IllegalArgumentException("not all of these steps can be: " + initialSteps);
        }
        int deepest = 0;
        while (!queue.isEmpty() && visited.size() < maxStates) {
            Step[] path = queue.poll();
            ControlPlaneModel model = replay(limits, disabledRule, 0, Arrays.asList(path));
            if (model.violation != null) {
                return new Exploration(
                        visited.size(), path.length - initialLength, false, describe(model));
            }
            if (!visited.add(hash(model.state()))) {
                continue;
            }
            deepest = Math.max(deepest, path.length - initialLength);
            if (path.length - initialLength < depth) {
                for (Step step : model.possibleSteps()) {
                    if (terse
                            && step.kind() == Kind.MESSAGE
                            && !model.processes[step.a()].hasUnsentState[step.b()]) {
                        continue;
                    }
                    Step[] longer = Arrays.copyOf(path, path.length + 1);
                    longer[path.length] = step;
                    queue.add(longer);
                }
            }
        }
        return new Exploration(visited.size(), deepest, queue.isEmpty(), null);
    }

    private static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
            hash ^= hash >>> 29;
        }
        return hash;
    }

    private static ControlPlaneModel replay(
            ModelLimits limits, SafetyRule disabledRule, long seed, List<Step> steps) {
        ControlPlaneModel model = new ControlPlaneModel(limits, disabledRule, seed);
        for (Step step : steps) {
            if (model.violation == null && model.isPossible(step)) {
                model.step(step);
            }
        }
        return model;
    }

    /** Steps as {@link #describe} writes them, played again. */
    static ControlPlaneModel replay(ModelLimits limits, long seed, String steps) {
        return replay(limits, null, seed, steps);
    }

    /** The same without this defence. */
    static ControlPlaneModel replay(
            ModelLimits limits, SafetyRule disabledRule, long seed, String steps) {
        return replay(limits, disabledRule, seed, parseSteps(steps));
    }

    private static List<Step> parseSteps(String text) {
        List<Step> path = new ArrayList<>();
        for (String step : text.isEmpty() ? new String[0] : text.split(", ")) {
            String[] parts = step.split(" ");
            path.add(
                    new Step(
                            Kind.valueOf(parts[0]),
                            Integer.parseInt(parts[1]),
                            Integer.parseInt(parts[2])));
        }
        return path;
    }

    static String describe(ControlPlaneModel model) {
        return model.violation + " after " + model.steps;
    }

    /**
     * How likely each kind is on one walk: drawn anew for each, so that some walks do little but
     * one thing.
     */
    private static double[] weights(ModelLimits limits, SplittableRandom random) {
        double[] weights = new double[Kind.values().length];
        weights[Kind.MESSAGE.ordinal()] = 50;
        weights[Kind.DISK.ordinal()] = 25;
        weights[Kind.TIME.ordinal()] = limits.usesLeaseManager() ? 12 : 5;
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
        for (int i = 0;
                i < (limits.hasCoordinator() ? weights.length : Kind.SERVER.ordinal());
                i++) {
            weights[i] *= factors[random.nextInt(factors.length)];
        }
        weights[Kind.ORDER.ordinal()] *= Math.min(1, limits.maxWrites());
        weights[Kind.READ.ordinal()] *= Math.min(1, limits.maxReads());
        weights[Kind.SETS.ordinal()] *= Math.min(1, limits.maxMembershipSteps());
        weights[Kind.EMPTY.ordinal()] *= Math.min(1, limits.maxDiskLosses());
        weights[Kind.SERVER.ordinal()] *= Math.min(1, limits.maxServerReports());
        weights[Kind.RECORD.ordinal()] *= Math.min(1, limits.maxRecords());
        return weights;
    }

    /**
     * One random walk: in spells, in which some links and disks are quick and others do nothing.
     */
    static ControlPlaneModel walk(Walk walk, SafetyRule disabledRule, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] weights = weights(walk.limits, random);
        walk.weightFactors.forEach((kind, factor) -> weights[kind.ordinal()] *= factor);
        ControlPlaneModel model =
                replay(walk.limits, disabledRule, seed, parseSteps(walk.initialSteps));
        int processCount = walk.limits.processes();
        int phaseLength = 5 + random.nextInt(30);
        double[] linkSpeeds = new double[processCount * processCount];
        double[] diskSpeeds = new double[processCount];
        Kind[] kinds = Kind.values();
        for (int i = 0; i < walk.length && model.violation == null; i++) {
            if (i == 0 || random.nextInt(phaseLength) == 0) {
                for (int k = 0; k < linkSpeeds.length; k++) {
                    linkSpeeds[k] = SPEED_FACTORS[random.nextInt(SPEED_FACTORS.length)];
                }
                for (int k = 0; k < processCount; k++) {
                    diskSpeeds[k] = SPEED_FACTORS[random.nextInt(SPEED_FACTORS.length)];
                }
            }
            Kind kind = kinds[draw(weights, random)];
            Step step = draw(model, kind, linkSpeeds, diskSpeeds, random);
            for (int attempt = 0; attempt < MAX_REDRAWS && !model.isPossible(step); attempt++) {
                step = draw(model, kind, linkSpeeds, diskSpeeds, random);
            }
            if (model.isPossible(step)) {
                model.step(step);
            }
        }
        return model;
    }

    private static int draw(double[] weights, SplittableRandom random) {
        double total = 0;
        for (double weight : weights) {
            total += weight;
        }
        double value = random.nextDouble() * total;
        int index = 0;
        while (index < weights.length - 1 && value >= weights[index]) {
            value -= weights[index++];
        }
        return index;
    }

    private static Step draw(
            ControlPlaneModel model,
            Kind kind,
            double[] linkSpeeds,
            double[] diskSpeeds,
            SplittableRandom random) {
        int processCount = model.limits.processes();
        int a = random.nextInt(processCount);
        int b = 0;
        switch (kind) {
            case MESSAGE, SENT -> {
                // Mostly those who have something to say.
                boolean anySender = random.nextInt(6) == 0;
                double[] currentWeights = linkSpeeds.clone();
                for (int k = 0; k < currentWeights.length; k++) {
                    currentWeights[k] *=
                            anySender
                                            || model.processes[k / processCount]
                                                    .hasUnsentState[k % processCount]
                                    ? 1
                                    : 0;
                }
                int link = draw(currentWeights, random);
                a = link / processCount;
                b = link % processCount;
            }
            case DISK -> {
                double[] currentWeights = diskSpeeds.clone();
                for (int k = 0; k < processCount; k++) {
                    currentWeights[k] *= model.processes[k].disk().isEmpty() ? 0 : 1;
                }
                a = draw(currentWeights, random);
            }
            case CUT, JOIN -> b = random.nextInt(processCount);
            case OLD -> a = random.nextInt(model.steps.size() + 1);
            case REFUSED -> b = random.nextInt(2);
            case CRASH -> {
                // Mostly those that lose something by it.
                for (int k = 0; k < processCount && model.processes[a].disk().isEmpty(); k++) {
                    a = random.nextInt(processCount);
                }
                b =
                        model.processes[a].register == null || random.nextBoolean()
                                ? 0
                                : random.nextInt(model.processes[a].disk().size() + 1);
            }
            case TIME -> {
                int value = random.nextInt(20);
                a = value < 12 ? 10 : value < 17 ? 50 : value < 19 ? 250 : 1_000;
            }
            case ORDER -> {
                a = random.nextInt(2);
                b =
                        random.nextInt(processCount)
                                + 8 * (1 + random.nextInt(model.limits.revisions()));
            }
            case GIVE_UP -> a = random.nextInt(2);
            case SERVER -> b = random.nextInt(6);
            case RECORD -> b = random.nextInt(2);
            case SETS -> b = random.nextBoolean() ? 0 : random.nextInt(1 << processCount);
            default -> {}
        }
        return new Step(kind, a, b);
    }

    /**
     * The same break with as few of the steps as may be: those that can be left out are left out,
     * later ones first.
     */
    static ControlPlaneModel minimize(
            ModelLimits limits, SafetyRule disabledRule, long seed, ControlPlaneModel violating) {
        List<Step> steps = new ArrayList<>(violating.steps);
        ControlPlaneModel shortest = violating;
        for (int chunk = Math.max(1, steps.size() / 2);
                chunk > 0;
                chunk = chunk > 1 ? chunk / 2 : 0) {
            boolean repeat = true;
            while (repeat) {
                repeat = false;
                for (int at = steps.size() - chunk; at >= 0; at -= chunk) {
                    List<Step> remaining = new ArrayList<>(steps.subList(0, at));
                    remaining.addAll(steps.subList(at + chunk, steps.size()));
                    ControlPlaneModel model = replay(limits, disabledRule, seed, remaining);
                    if (model.violation != null) {
                        shortest = model;
                        steps = new ArrayList<>(model.steps);
                        at = Math.min(at, steps.size() - chunk + 1);
                        repeat = chunk == 1;
                    }
                }
            }
        }
        return shortest;
    }

    /**
     * Walks without this defence until one breaks; null where none does in the walks or the time
     * that there is.
     */
    static String findViolation(
            SafetyRule disabledRule, long seed, int maxWalks, long deadlineNanos) {
        List<Walk> walks =
                disabledRule == null ? WALKS : DETECTING_WALKS.getOrDefault(disabledRule, WALKS);
        for (int i = 0; i < maxWalks && System.nanoTime() < deadlineNanos; i++) {
            Walk walk = walks.get(i % walks.size());
            ControlPlaneModel model = walk(walk, disabledRule, seed + i);
            if (model.violation != null) {
                ControlPlaneModel minimized = minimize(walk.limits, disabledRule, seed + i, model);
                String violationWithRule =
                        disabledRule == null
                                ? null
                                : replay(walk.limits, null, seed + i, minimized.steps).violation;
                return violationWithRule != null ? null : describe(minimized);
            }
        }
        return null;
    }

    /**
     * Within about this time, on two threads: first by breadth, then walks with all defences up to
     * two fifths of it, then without one after the other.
     */
    public static Result run(long seed, long budgetMs) {
        long startNanos = System.nanoTime();
        long budgetNanos = budgetMs * 1_000_000;
        int maxStates = (int) Math.max(200, budgetMs / 50);
        ExecutorService executor = Executors.newFixedThreadPool(THREADS);
        try {
            List<Future<Exploration>> explorations = new ArrayList<>();
            for (StartingPoint entry : STARTING_POINTS) {
                explorations.add(
                        executor.submit(
                                () ->
                                        explore(
                                                entry.limits,
                                                entry.initialSteps,
                                                null,
                                                40,
                                                maxStates)));
            }
            List<Future<Exploration>> walkResults = new ArrayList<>();
            for (int thread = 0; thread < THREADS; thread++) {
                int firstWalk = thread;
                walkResults.add(
                        executor.submit(
                                () -> walkAll(seed, firstWalk, startNanos + budgetNanos * 2 / 5)));
            }
            long statesAndWalks = 0;
            long steps = 0;
            String violation = null;
            for (Future<Exploration> entry : explorations) {
                statesAndWalks += entry.get().states;
                violation = violation == null ? entry.get().violation : violation;
            }
            for (Future<Exploration> entry : walkResults) {
                statesAndWalks += entry.get().states;
                steps += entry.get().depth;
                violation = violation == null ? entry.get().violation : violation;
            }
            TreeMap<SafetyRule, String> detected = new TreeMap<>();
            List<SafetyRule> missed = List.of(SafetyRule.values());
            // Whatever was missed is tried again with the time that others left.
            for (long pass = 0;
                    !missed.isEmpty()
                            && (pass == 0 || System.nanoTime() - startNanos < budgetNanos);
                    pass++) {
                detected.putAll(
                        findViolations(
                                missed,
                                seed + pass * UNLIMITED * UNLIMITED,
                                startNanos + budgetNanos,
                                executor));
                missed = missed.stream().filter(entry -> !detected.containsKey(entry)).toList();
            }
            return new Result(statesAndWalks, steps, violation, detected, missed);
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        } finally {
            executor.shutdownNow();
        }
    }

    private static Map<SafetyRule, String> findViolations(
            List<SafetyRule> rules, long seed, long deadlineNanos, ExecutorService executor)
            throws InterruptedException, ExecutionException {
        Map<SafetyRule, Future<String>> searches = new LinkedHashMap<>();
        AtomicInteger remaining = new AtomicInteger(rules.size());
        for (SafetyRule rule : rules) {
            searches.put(
                    rule,
                    executor.submit(
                            () -> {
                                long now = System.nanoTime();
                                return findViolation(
                                        rule,
                                        seed,
                                        Integer.MAX_VALUE,
                                        now
                                                + Math.max(0, deadlineNanos - now)
                                                        * THREADS
                                                        / Math.max(
                                                                THREADS,
                                                                remaining.getAndDecrement()));
                            }));
        }
        Map<SafetyRule, String> detected = new TreeMap<>();
        for (Map.Entry<SafetyRule, Future<String>> rule : searches.entrySet()) {
            if (rule.getValue().get() != null) {
                detected.put(rule.getKey(), rule.getValue().get());
            }
        }
        return detected;
    }

    /** Every other walk with all defences: how many, their steps, and what broke first. */
    private static Exploration walkAll(long seed, int firstWalk, long deadlineNanos) {
        int count = 0;
        int steps = 0;
        for (long i = firstWalk; System.nanoTime() < deadlineNanos; i += THREADS) {
            Walk walk = WALKS.get((int) (i / THREADS % WALKS.size()));
            ControlPlaneModel model = walk(walk, null, seed + i);
            count++;
            steps += model.steps.size();
            if (model.violation != null) {
                return new Exploration(
                        count,
                        steps,
                        false,
                        describe(minimize(walk.limits, null, seed + i, model)));
            }
        }
        return new Exploration(count, steps, false, null);
    }

    /**
     * Arguments: the seed, the time in milliseconds, and one defence alone, EACH of them in turn,
     * ALL for walks with all of them; or BREADTH or TERSE and a depth, then the second is the most
     * states.
     */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        long budgetMs = args.length > 1 ? Long.parseLong(args[1]) : 15_000;
        if (args.length > 2 && args[2].equals("BREADTH")
                || args.length > 2 && args[2].equals("TERSE")) {
            int depth = Integer.parseInt(args[3]);
            for (StartingPoint entry : STARTING_POINTS) {
                long startNanos = System.nanoTime();
                System.out.println(
                        entry.name
                                + ": "
                                + explore(
                                        entry.limits,
                                        entry.initialSteps,
                                        null,
                                        depth,
                                        (int) budgetMs,
                                        args[2].equals("TERSE"))
                                + " "
                                + (System.nanoTime() - startNanos) / 1_000_000
                                + " ms");
            }
            return;
        }
        if (args.length > 2) {
            for (SafetyRule entry :
                    args[2].equals("EACH")
                            ? SafetyRule.values()
                            : new SafetyRule[] {
                                args[2].equals("ALL") ? null : SafetyRule.valueOf(args[2])
                            }) {
                long startNanos = System.nanoTime();
                String trace =
                        findViolation(
                                entry, seed, Integer.MAX_VALUE, startNanos + budgetMs * 1_000_000);
                System.out.println(
                        (System.nanoTime() - startNanos) / 1_000_000
                                + " ms, "
                                + (entry == null ? "with all: " : "without " + entry + ": ")
                                + trace);
            }
            return;
        }
        Result result = run(seed, budgetMs);
        result.detected.forEach(
                (rule, trace) -> System.out.println("without " + rule + ": " + trace));
        result.missed.forEach(rule -> System.out.println("without " + rule + ": nothing broke"));
        if (result.violation != null) {
            System.out.println("BROKEN with all defences: " + result.violation);
        }
        System.out.println("steps=" + result.steps);
        System.out.println(
                "worlds="
                        + result.statesAndWalks
                        + " defences="
                        + SafetyRule.values().length
                        + " defences_caught="
                        + result.detected.size());
        if (result.violation != null) {
            System.exit(1);
        }
    }
}
