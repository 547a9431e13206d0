package dillfront.core;

import dillfront.host.DataLoss;
import dillfront.host.Pack;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Who leads a service, as the holder of the duty recorded it.
 *
 * @param number rises with each record; that of a later holder is above all of an earlier one
 * @param moving nobody is to be asked as the primary until the next record
 * @param paused replicas may not receive: whoever holds the duty resumes them
 * @param move the record with which it began to move; 0 while it does not
 * @param loss the commits that a person gave up last; null for none
 */
public record Lead(
        String service,
        long number,
        String primary,
        boolean moving,
        boolean paused,
        long move,
        DataLoss loss) {

    /** Nothing that was given up before counts for this one. */
    public Lead(String service, long number, String primary, boolean moving, boolean paused) {
        this(service, number, primary, moving, paused, moving ? number : 0, null);
    }

    /** The same, under a number of the present holder. */
    Lead again(long next) {
        return new Lead(service, next, primary, moving, paused, move, loss);
    }

    /** It begins to move. */
    Lead moves(long next) {
        return new Lead(service, next, primary, true, paused, next, loss);
    }

    /** While it moves, a person has given commits up. */
    Lead without(long next, DataLoss given) {
        return new Lead(service, next, primary, moving, paused, move, given);
    }

    /** This one leads, with what is still given up then. */
    Lead leads(long next, String id, boolean held, DataLoss given) {
        return new Lead(service, next, id, false, held, 0, given);
    }

    Map<String, Object> row() {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("s", service);
        row.put("k", number);
        row.put("p", primary);
        row.put("m", moving);
        if (paused) {
            row.put("h", true);
        }
        if (moving) {
            row.put("mv", move);
        }
        if (loss != null) {
            row.put("dl", loss.toString());
        }
        return row;
    }

    static Lead of(Pack.Fields row) {
        long number = row.number("k", 0);
        boolean moving = row.bit("m");
        return new Lead(
                row.text("s"),
                number,
                row.text("p"),
                moving,
                row.bit("h"),
                moving ? row.number("mv", number) : 0,
                DataLoss.of(row.text("dl")));
    }

    String kept() {
        return number
                + "\n"
                + primary
                + "\n"
                + moving
                + "\n"
                + paused
                + "\n"
                + move
                + "\n"
                + (loss == null ? "" : loss);
    }

    static Lead kept(String service, String text) {
        String[] part = text.split("\n", -1);
        if (part.length < 3) {
            return null;
        }
        long number = Long.parseLong(part[0]);
        boolean moving = Boolean.parseBoolean(part[2]);
        // Texts before this one wrote three parts, or four.
        return new Lead(
                service,
                number,
                part[1],
                moving,
                part.length == 3 || Boolean.parseBoolean(part[3]),
                part.length > 4 ? Long.parseLong(part[4]) : moving ? number : 0,
                part.length > 5 ? DataLoss.of(part[5]) : null);
    }
}
