package dillfront.controlplane;

import dillfront.common.protocol.PrimaryRecord;
import dillfront.controlplane.consensus.RegisterValue;
import dillfront.controlplane.failover.DataLossManager;
import dillfront.controlplane.primary.MissingCommits;
import dillfront.controlplane.state.ControlState;

/** Formats the state of a control process as one line, for operators and logs. */
final class StatusLine {

    private final ControlState state;
    private final DataLossManager dataLoss;

    StatusLine(ControlState state, DataLossManager dataLoss) {
        this.state = state;
        this.dataLoss = dataLoss;
    }

    String format(int dataPlanes, boolean leaving) {
        RegisterValue accepted = state.register().acceptedValue();
        StringBuilder line = new StringBuilder();
        line.append("version=").append(state.register().committedConfiguration().revision());
        line.append(" held=").append(accepted == null ? -1 : accepted.configuration().revision());
        line.append(" epoch=").append(state.cluster().epoch());
        line.append(" members=").append(accepted == null ? "none" : accepted.members());
        if (accepted != null && accepted.isJoint()) {
            line.append(" outgoing=").append(accepted.outgoing());
        }
        line.append(state.cluster().isVoter() ? "" : " learner");
        line.append(state.cluster().isIsolated() ? " alone" : "");
        line.append(leaving ? " leaving" : "");
        line.append(" lease=").append(state.lease().number());
        line.append(state.lease().isHeld() ? " held" : "");
        line.append(" promised=").append(state.lease().promisedNumber());
        line.append(" to=").append(state.lease().promisedTo());
        line.append(" fronts=").append(dataPlanes);
        state.records().all().forEach(record -> line.append(format(record)));
        return line.toString();
    }

    private String format(PrimaryRecord record) {
        return " | "
                + record.service()
                + " primary="
                + record.primary()
                + (record.moving() ? " moving" : "")
                + format(dataLoss.missing(record.service()));
    }

    private String format(MissingCommits missing) {
        if (missing == null) {
            return "";
        }
        String unreachable = String.join(",", missing.unreachableServers());
        return " lacking="
                + missing.acknowledged().lowerBound()
                + ".."
                + missing.acknowledged().upperBound()
                + " longest_log="
                + missing.longestLogEnd()
                + (unreachable.isEmpty() ? "" : " out_of_reach=" + unreachable)
                + " for_s="
                + (state.nowMillis() - missing.sinceMillis()) / 1_000;
    }
}
