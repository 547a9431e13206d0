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
 * Model checker of the control plane. Explores all steps of small models up to a depth in
 * breadth-first order, takes random walks far beyond that depth, and repeats this with one safety
 * rule disabled at a time, which must lead to a violation.
 */
public final class ControlPlaneModelChecker {

    /**
     * @param statesAndWalks number of states reached by exploration and of walks, with all safety
     *     rules enabled
     * @param steps number of steps in the walks
     * @param violation the first violation with all safety rules enabled and its trace; null if
     *     there is none
     * @param detected the trace of a violation for each safety rule whose absence was detected
     * @param missed the safety rules whose absence was not detected within the time
     */
    public record Result(
            long statesAndWalks,
            long steps,
            String violation,
            TreeMap<SafetyRule, String> detected,
            List<SafetyRule> missed) {}

    /**
     * Result of an exploration: the number of states, the deepest path to one, whether the
     * exploration was exhaustive, and the violation.
     */
    record Exploration(int states, int depth, boolean exhaustive, String violation) {}

    /** Two operators, one revision number and three members. */
    static final ModelLimits TWO_WRITERS =
            new ModelLimits(3, 3, false, false, 1, 2, 0, 0, 0, 0, 0, 0, 0, 0);

    static final String TWO_WRITERS_START = "ORDER 0 8, ORDER 1 9";

    /** A configuration and one power loss; an operator without an answer repeats the call. */
    static final ModelLimits POWER_LOSS =
            new ModelLimits(3, 3, false, false, 1, 2, 0, 0, 1, 0, 0, 0, 0, 0);

    static final String POWER_LOSS_START = "ORDER 0 8";

    /**
     * One member is replaced while a configuration is in progress at the removed member; the first
     * process proposes both membership steps.
     */
    static final ModelLimits MEMBER_REPLACEMENT =
            new ModelLimits(4, 3, false, false, 1, 1, 0, 0, 0, 0, 0, 2, 2, 0);

    /** The same, starting with the joint value in progress, with one power loss. */
    static final ModelLimits JOINT_REPLACEMENT =
            new ModelLimits(4, 3, false, false, 1, 1, 0, 0, 1, 0, 0, 1, 2, 0);

    private static final String ALL_IN_CONTACT =
            "MESSAGE 0 1, MESSAGE 0 2, MESSAGE 1 0, MESSAGE 2 0, MESSAGE 3 0, MESSAGE 0 3";
    static final String MEMBER_REPLACEMENT_START = ALL_IN_CONTACT + ", SETS 0 11, ORDER 0 10";

    /**
     * The joint value is accepted by the first process alone, by a majority of the old set alone,
     * or decided and ready to be finished.
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
     * Server reports and one record with fixed members, and during the replacement of a member,
     * with one power loss.
     */
    static final ModelLimits REGISTRY =
            new ModelLimits(3, 3, false, false, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 2, 1);

    static final ModelLimits REGISTRY_REPLACEMENT =
            new ModelLimits(4, 3, false, false, 1, 0, 0, 0, 1, 0, 0, 1, 2, 0, 1, 1);

    /** First start, with one replaced disk. */
    static final ModelLimits FIRST_START =
            new ModelLimits(3, 3, true, false, 1, 1, 0, 0, 1, 1, 0, 0, 0, 0);

    private static final int MAX_REDRAWS = 6;
    private static final int THREADS = 2;
    private static final double[] SPEED_FACTORS = {0, 0.05, 1, 3};
    private static final int UNLIMITED = 1_000;

    /** Fixed members, two operators, power losses and disk failures. */
    static final ModelLimits FIXED_MEMBERS =
            new ModelLimits(
                    3, 3, false, false, 2, UNLIMITED, UNLIMITED, UNLIMITED, 8, 2, 3, UNLIMITED, 0,
                    UNLIMITED);

    /** Membership changes proposed by the first process. */
    static final ModelLimits MEMBER_CHANGES =
            new ModelLimits(
                    4, 3, false, false, 2, UNLIMITED, UNLIMITED, UNLIMITED, 3, 1, 1, UNLIMITED,
                    UNLIMITED, UNLIMITED);

    /** All kinds of steps. */
    static final ModelLimits ALL_STEPS =
            new ModelLimits(
                    5, 3, false, true, 3, UNLIMITED, UNLIMITED, UNLIMITED, 6, 3, 2, UNLIMITED,
                    UNLIMITED, UNLIMITED);

    /** Bootstrap from empty disks, one of which is replaced later. */
    static final ModelLimits BOOTSTRAP =
            new ModelLimits(
                    3, 3, true, true, 2, UNLIMITED, UNLIMITED, UNLIMITED, 6, 1, 2, UNLIMITED,
                    UNLIMITED, UNLIMITED);

    static final ModelLimits FIVE_MEMBERS =
            new ModelLimits(
                    5, 5, false, true, 2, UNLIMITED, UNLIMITED, UNLIMITED, 4, 1, 2, UNLIMITED,
                    UNLIMITED, UNLIMITED);

    /** The lease alone, with fixed members and with membership changes. */
    static final ModelLimits LEASE_ONLY =
            new ModelLimits(
                    3, 3, false, true, 1, 0, 0, UNLIMITED, 3, 0, 1, UNLIMITED, 0, UNLIMITED);

    static final ModelLimits LEASE_MEMBER_CHANGES =
            new ModelLimits(
                    4, 3, false, true, 1, 0, 0, UNLIMITED, 2, 0, 1, UNLIMITED, UNLIMITED,
                    UNLIMITED);

    /** Membership changes alone. */
    static final ModelLimits MEMBER_CHANGES_ONLY =
            new ModelLimits(
                    4, 3, false, false, 2, UNLIMITED, UNLIMITED, UNLIMITED, 0, 0, 0, UNLIMITED,
                    UNLIMITED, 0);

    /**
     * Servers and records, with fixed members and with membership changes; the failover coordinator
     * is the first process or the lease holder.
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
     * A model, the length of a random walk through it, and the kinds of steps that are more
     * frequent than usual.
     *
     * @param weightFactors a factor of the weight of a kind
     * @param initialSteps the initial steps
     */
    record Walk(
            ModelLimits limits, int length, Map<Kind, Integer> weightFactors, String initialSteps) {
        Walk(ModelLimits limits, int length, Map<Kind, Integer> weightFactors) {
            this(limits, length, weightFactors, "");
        }
    }

    /** Start of an exploration. */
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

    /**
     * A member has promised a ballot to one proposer and receives the request of another; power
     * losses may follow.
     */
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

    /** A proposer has sent a value to one member, and may lose power. */
    private static final Walk VALUE_SENT =
            new Walk(
                    FIXED_MEMBERS,
                    60,
                    RELIABLE_LINKS,
                    "ORDER 0 18, MESSAGE 0 2, MESSAGE 2 0, DISK 0 0, MESSAGE 0 2, MESSAGE 2 0, DISK 0 0, CRASH 2 0");

    /**
     * One member alone has accepted the first step of a membership change and, with the safety rule
     * disabled, the second.
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
     * A member set was replaced and one of its former members does not know; a configuration is in
     * progress in the new set.
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
     * A configuration was decided, a membership change is proposed, and another configuration is in
     * progress at a process that the change removes.
     */
    private static final Walk CHANGE_DURING_WRITE =
            new Walk(
                    MEMBER_CHANGES_ONLY,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.READ, 0),
                    "MESSAGE 1 0, ORDER 0 16, "
                            + "DISK 0 0, MESSAGE 0 1, MESSAGE 1 0, DISK 1 0, SETS 0 1, ORDER 1 18, MESSAGE 1 0");

    /**
     * Several processes propose membership changes with the safety rule disabled, and some hold the
     * lease by them.
     */
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

    /** The bootstrapping process has received a message from one of two peers. */
    private static final Walk PARTIAL_BOOTSTRAP =
            new Walk(
                    BOOTSTRAP,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.EMPTY, 4, Kind.CRASH, 3),
                    "MESSAGE 0 1, MESSAGE 1 0, DISK 0 0, MESSAGE 0 1, CRASH 0 0, DISK 1 0");

    /** A configuration was acknowledged, and a process that accepted it is down. */
    private static final Walk ACCEPTOR_DOWN =
            new Walk(
                    FIXED_MEMBERS,
                    60,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.EMPTY, 8, Kind.CRASH, 3),
                    "MESSAGE 1 0, ORDER 0 16, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, CRASH 0 0");

    private static final Walk LEASE_WALK = new Walk(LEASE_ONLY, 200, Map.of());

    /**
     * A member promised the lease to a candidate whose disk then stalls, and another candidate,
     * which had requested it before, requests a higher number.
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
     * The lease holder works with a new member set; a member of the former set requests the lease
     * from another member of that set.
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
     * Two candidates request the same lease number at the same time; the request of the first one
     * is not on its disk yet.
     */
    private static final String LEASE_TIE =
            "MESSAGE 0 1, MESSAGE 1 0, MESSAGE 0 1, MESSAGE 1 0, TIME 1000 0, DISK 1 0, ";

    /**
     * The second candidate held the lease with this number and lost it; then the disk of the first
     * one continues.
     */
    private static final String TIE_WINNER_EXPIRED =
            LEASE_TIE
                    + "MESSAGE 1 2, DISK 2 0, DISK 2 0, MESSAGE 2 1, TIME 1000 0, TIME 1000 0, TIME 1000 0, ";

    private static final Walk TIE_ABANDONED =
            new Walk(
                    LEASE_ONLY,
                    40,
                    RELIABLE_PROCESSES,
                    TIE_WINNER_EXPIRED + "DISK 0 0, MESSAGE 0 1");

    /** The same, and the member that granted it requested a higher number without success. */
    private static final Walk TIE_VOTER_REQUESTED =
            new Walk(
                    LEASE_ONLY,
                    40,
                    RELIABLE_PROCESSES,
                    TIE_WINNER_EXPIRED
                            + "MESSAGE 1 2, MESSAGE 2 1, MESSAGE 1 2, TIME 1000 0, DISK 2 0, "
                            + "TIME 1000 0, TIME 1000 0, DISK 0 0, MESSAGE 0 2");

    /**
     * The first candidate got the lease; the second requested the next number and abandoned it
     * after learning of the holder.
     */
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

    /** A server report is on the disk of one process and known to another, which may lose power. */
    private static final Walk REPORT_IN_FLIGHT =
            new Walk(
                    SERVERS,
                    40,
                    Map.of(Kind.CUT, 0, Kind.EMPTY, 0, Kind.CRASH, 4),
                    MEMBERS_IN_CONTACT + ", SERVER 1 1, DISK 1 0");

    /** Two records are in flight in one message, the older one second. */
    private static final Walk TWO_RECORDS =
            new Walk(
                    SERVERS,
                    40,
                    Map.of(Kind.CUT, 0, Kind.EMPTY, 0),
                    MEMBERS_IN_CONTACT + ", RECORD 0 1, RECORD 0 0");

    /** A member that stored a record loses its disk. */
    private static final Walk RECORD_DISK_LOST =
            new Walk(
                    SERVERS,
                    40,
                    Map.of(Kind.SENT, 0, Kind.OLD, 0, Kind.CUT, 0, Kind.EMPTY, 4, Kind.SERVER, 0),
                    MEMBERS_IN_CONTACT
                            + ", RECORD 0 0, DISK 0 0, MESSAGE 0 1, DISK 1 0, MESSAGE 1 0, CRASH 1 0");

    /**
     * The lease holder has issued records, and a larger member set is in progress whose new members
     * have not promised the lease.
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
     * A new process replaces a member that does not know of it: the joint value is decided, and a
     * server reports to that member.
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
     * A member does not respond and the lease holder replaces it by a new process: the joint value
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

    /** Starting points of the explorations. */
    private static final List<StartingPoint> STARTING_POINTS =
            List.of(
                    new StartingPoint("two writers", TWO_WRITERS, TWO_WRITERS_START),
                    new StartingPoint("power loss", POWER_LOSS, POWER_LOSS_START),
                    new StartingPoint("first start", FIRST_START, ""),
                    new StartingPoint(
                            "member replacement", MEMBER_REPLACEMENT, MEMBER_REPLACEMENT_START),
                    new StartingPoint("joint on proposer", JOINT_REPLACEMENT, JOINT_ON_PROPOSER),
                    new StartingPoint(
                            "joint on old majority", JOINT_REPLACEMENT, JOINT_ON_OLD_MAJORITY),
                    new StartingPoint("joint finishing", JOINT_REPLACEMENT, JOINT_FINISHING),
                    new StartingPoint("registry", REGISTRY, REGISTRY_START),
                    new StartingPoint("registry joint", REGISTRY_REPLACEMENT, REGISTRY_JOINT),
                    new StartingPoint(
                            "registry joint finishing",
                            REGISTRY_REPLACEMENT,
                            REGISTRY_JOINT_FINISHING));

    /** Walks that detect the absence of a safety rule soonest; any walk detects the others. */
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

    /** Explores all states up to this depth after the initial steps, in breadth-first order. */
    static Exploration explore(
            ModelLimits limits,
            String initialSteps,
            SafetyRule disabledRule,
            int depth,
            int maxStates) {
        return explore(limits, initialSteps, disabledRule, depth, maxStates, false);
    }

    /**
     * Explores like the other overload.
     *
     * @param terse messages are sent only if the state of the sender has changed since the last
     *     one: reaches deeper, but is not exhaustive
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
            throw new IllegalArgumentException(
                    "some of these initial steps are not possible: " + initialSteps);
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

    /** Replays steps as {@link #describe} writes them. */
    static ControlPlaneModel replay(ModelLimits limits, long seed, String steps) {
        return replay(limits, null, seed, steps);
    }

    /** Replays steps with this safety rule disabled. */
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
     * Returns the weight of each kind of step, drawn for each walk so that some walks concentrate
     * on few kinds.
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
     * Takes one random walk in phases; in each phase some links and disks are fast and others
     * stall.
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
                // Mostly processes with new state to send.
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
                // Mostly processes with pending writes to lose.
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
     * Returns the same violation with as few steps as possible: removes steps that are not needed,
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
     * Takes walks with this safety rule disabled until one violates an invariant; returns null if
     * none does within the number of walks or the time.
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
     * Runs for about this time on two threads: exploration first, then walks with all safety rules
     * enabled up to two fifths of the time, then walks with one rule disabled after the other.
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
            // Undetected safety rules are tried again in the remaining time.
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

    /**
     * Takes every second walk with all safety rules enabled; returns the number of walks, their
     * steps and the first violation.
     */
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
     * Arguments: the seed, the time in milliseconds, and one safety rule to disable, EACH for every
     * rule in turn, or ALL for walks with all rules enabled; or BREADTH or TERSE and a depth, in
     * which case the second argument is the maximum number of states.
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
                                + (entry == null ? "with all rules: " : "without " + entry + ": ")
                                + trace);
            }
            return;
        }
        Result result = run(seed, budgetMs);
        result.detected.forEach(
                (rule, trace) -> System.out.println("without " + rule + ": " + trace));
        result.missed.forEach(
                rule -> System.out.println("without " + rule + ": no violation found"));
        if (result.violation != null) {
            System.out.println("VIOLATION with all safety rules: " + result.violation);
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
