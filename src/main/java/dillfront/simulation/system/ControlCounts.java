package dillfront.simulation.system;

import java.util.ArrayList;
import java.util.List;

/**
 * What a day, or many, brought to control state: what was lost, what became of it, and the counts
 * of harm.
 */
public final class ControlCounts {

    public long losses;
    public long acknowledged;
    public long lost;
    public long back;
    public long twoUnderOne;
    public long refusedAgain;
    public long minorityAnswers;
    public long twoHolders;
    public long fenceRepeats;
    public long replaced;
    public long noMajority;
    public long behindChanges;
    public long wrongCaller;
    public long sentTwice;
    public final List<Long> replaceMs = new ArrayList<>();
    public final List<Long> catchUpMs = new ArrayList<>();
    public final List<Long> acknowledgeMs = new ArrayList<>();

    public ControlCounts() {}

    ControlCounts(Audit audit, ConfigAudit of) {
        losses = of.losses;
        acknowledged = of.acknowledged;
        lost = of.lost;
        back = of.back;
        twoUnderOne = of.twoUnderOne;
        refusedAgain = of.refusedAgain;
        minorityAnswers = of.minorityAnswers;
        twoHolders = of.twoHolders;
        fenceRepeats = of.fenceRepeats;
        replaced = of.replaced;
        noMajority = of.noMajority;
        behindChanges = of.behindChanges;
        wrongCaller = audit.wrongCaller;
        sentTwice = audit.sentTwice;
        replaceMs.addAll(of.replaceMs);
        catchUpMs.addAll(of.catchUpMs);
        acknowledgeMs.addAll(of.acknowledgeMs);
    }

    /** Adds what was counted elsewhere. */
    public void add(ControlCounts other) {
        losses += other.losses;
        acknowledged += other.acknowledged;
        lost += other.lost;
        back += other.back;
        twoUnderOne += other.twoUnderOne;
        refusedAgain += other.refusedAgain;
        minorityAnswers += other.minorityAnswers;
        twoHolders += other.twoHolders;
        fenceRepeats += other.fenceRepeats;
        replaced += other.replaced;
        noMajority += other.noMajority;
        behindChanges += other.behindChanges;
        wrongCaller += other.wrongCaller;
        sentTwice += other.sentTwice;
        replaceMs.addAll(other.replaceMs);
        catchUpMs.addAll(other.catchUpMs);
        acknowledgeMs.addAll(other.acknowledgeMs);
    }
}
