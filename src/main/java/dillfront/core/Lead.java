package dillfront.core;

import dillfront.host.Pack;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Who leads a service, as the holder of the duty recorded it.
 *
 * @param number rises with each record; that of a later holder is above all of an earlier one
 * @param moving nobody is to be asked as the primary until the next record
 * @param paused replicas may not receive: whoever holds the duty resumes them
 */
public record Lead(String service, long number, String primary, boolean moving, boolean paused) {

    Map<String, Object> row() {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("s", service);
        row.put("k", number);
        row.put("p", primary);
        row.put("m", moving);
        if (paused) {
            row.put("h", true);
        }
        return row;
    }

    static Lead of(Pack.Fields row) {
        return new Lead(row.text("s"), row.number("k", 0), row.text("p"), row.bit("m"), row.bit("h"));
    }

    String kept() {
        return number + "\n" + primary + "\n" + moving + "\n" + paused;
    }

    static Lead kept(String service, String text) {
        String[] part = text.split("\n", -1);
        // Texts before this one wrote three parts.
        return part.length < 3 ? null : new Lead(service, Long.parseLong(part[0]), part[1], Boolean.parseBoolean(part[2]),
                part.length == 3 || Boolean.parseBoolean(part[3]));
    }
}
