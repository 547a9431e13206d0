package dillfront.simulation.system;

import dillfront.controlplane.ControlNode;

/** A machine with a control process and a disk. */
final class ControlMachine {

    final Sim.Machine machine;
    final Disk disk;
    ControlNode core;

    /** When its process last began. */
    long startedAt;

    /** It is gone for good; nobody starts it again. */
    boolean gone;

    /**
     * The newest number that was acknowledged when its process began; -1 once it has all of that.
     */
    long behind = -1;

    /** How many changes it has to catch up. */
    int behindBy;

    /** It took the place of another, and is not yet one of those that count. */
    boolean replaces;

    /** Cut off from a majority since then, without a break; -1 where it is not. */
    long aloneSince = -1;

    /** Since when it has reached a majority, in this life. */
    long contactFrom;

    /** Acknowledged numbers when it was last known to have all. */
    int hadChanges;

    ControlMachine(Sim sim, Sim.Machine machine) {
        this.machine = machine;
        disk = new Disk(sim, machine);
    }

    boolean runs() {
        return machine.up && !machine.frozen();
    }

    void down(boolean power) {
        machine.down(power);
        disk.cutShort();
    }
}
