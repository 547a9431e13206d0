package dillfront.simulation.system;

import dillfront.controlplane.ControlNode;

/** A machine with a control process and a disk. */
final class ControlMachine {

    final Simulator.Machine host;
    final SimulatedDisk disk;
    ControlNode node;

    /** Time of the last start of the process. */
    long startedAtMillis;

    /** The machine was removed permanently and is not started again. */
    boolean decommissioned;

    /**
     * The highest revision that was acknowledged when the process started; -1 once the process has
     * caught up.
     */
    long catchUpRevision = -1;

    /** Number of changes that the process missed. */
    int catchUpChanges;

    /** The machine replaces another one and is not yet a voting member. */
    boolean awaitingMembership;

    /** Since when the machine has been without a majority; -1 where it reaches one. */
    long isolatedSinceMillis = -1;

    /** Since when the machine has reached a majority in this incarnation. */
    long majorityContactSinceMillis;

    /** Number of acknowledged changes when the machine last had all of them. */
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
