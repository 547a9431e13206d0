package dillfront.simulation.system;

import dillfront.controlplane.ControlNode;

/** A machine with a control process and a disk. */
final class ControlMachine {

    final Simulator.Machine host;
    final SimulatedDisk disk;
    ControlNode node;

    /** When its process last began. */
    long startedAtMillis;

    /** It is gone for good; nobody starts it again. */
    boolean decommissioned;

    /**
     * The newest number that was acknowledged when its process began; -1 once it has all of that.
     */
    long catchUpRevision = -1;

    /** How many changes it has to catch up. */
    int catchUpChanges;

    /** It took the place of another, and is not yet one of those that count. */
    boolean awaitingMembership;

    /** Cut off from a majority since then, without a break; -1 where it is not. */
    long isolatedSinceMillis = -1;

    /** Since when it has reached a majority, in this life. */
    long majorityContactSinceMillis;

    /** Acknowledged numbers when it was last known to have all. */
    int changesWhenCaughtUp;

    ControlMachine(Simulator sim, Simulator.Machine host) {
        this.host = host;
        disk = new SimulatedDisk(sim, host);
    }

    boolean isRunning() {
        return host.up && !host.paused();
    }

    void down(boolean powerLoss) {
        host.down(powerLoss);
        disk.interrupt();
    }
}
