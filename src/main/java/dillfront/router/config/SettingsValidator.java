package dillfront.router.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Validates a settings object and names the path of the first fault. Absent keys take their
 * defaults; a present key must have the right type, since a value of a wrong type would silently be
 * replaced by the default.
 */
final class SettingsValidator {

    /** Constraint on a value: a range, a set of words, or a Boolean. */
    private interface Constraint {
        String violation(Object value);
    }

    private static final long UNBOUNDED = Long.MAX_VALUE;
    private static final Constraint NON_NEGATIVE = range(0, UNBOUNDED);
    private static final Constraint POSITIVE = range(1, UNBOUNDED);
    private static final Constraint FRACTION = range(0, 1);
    private static final Constraint BOOLEAN =
            value -> value instanceof Boolean ? null : "is neither true nor false";
    private static final Constraint NON_EMPTY_STRING =
            value -> value instanceof String s && !s.isEmpty() ? null : "is no name";

    private final JsonObject settings;
    private String firstError;

    private SettingsValidator(JsonObject settings) {
        this.settings = settings;
    }

    /** Returns the first fault with its path; null if there is none. */
    static String firstError(JsonObject settings) {
        SettingsValidator checks = new SettingsValidator(settings);
        checks.validate();
        return checks.firstError;
    }

    private void validate() {
        checkFields(
                settings,
                "",
                "stepUs",
                POSITIVE,
                "groupSize",
                POSITIVE,
                "registryMode",
                oneOf("push", "ask"),
                "az",
                NON_EMPTY_STRING);
        checkFields(
                section("bounds"),
                "bounds.",
                "dialTimeoutUs",
                POSITIVE,
                "keepaliveUs",
                NON_NEGATIVE,
                "maxAttempts",
                POSITIVE,
                "maxRetryAfterUs",
                NON_NEGATIVE,
                "probes",
                BOOLEAN,
                "retryAfter",
                BOOLEAN);
        checkFields(
                section("rules"),
                "rules.",
                "coldFrom",
                FRACTION,
                "coldUs",
                NON_NEGATIVE,
                "tipMultiple",
                NON_NEGATIVE,
                "tipAfterUs",
                NON_NEGATIVE,
                "drainGraceUs",
                NON_NEGATIVE,
                "askWithinUs",
                NON_NEGATIVE,
                "droppedStayOpen",
                BOOLEAN);
        checkFields(section("charges"), "charges.", "probe", NON_NEGATIVE);
        checkFields(section("stats"), "stats.", "how", oneOf("inline", "on_probe", "off"));
        checkFields(
                section("familyInfo"),
                "familyInfo.",
                "guards",
                oneOf("off", "bounce", "await"),
                "listRole",
                oneOf("trailing", "static", "off"),
                "tokens",
                oneOf("brought", "kept"),
                "originTimeUs",
                NON_NEGATIVE);
        List<JsonObject> types = namedObjects("classes");
        for (int i = 0; i < types.size(); i++) {
            checkFields(
                    types.get(i),
                    "classes[" + i + "].",
                    "effect",
                    oneOf("retryable", "dedup", "fragile"),
                    "dedupScope",
                    oneOf("all", "zone", "cell"),
                    "dedupWindowUs",
                    NON_NEGATIVE,
                    "targetUs",
                    POSITIVE,
                    "deadlineUs",
                    POSITIVE,
                    "worth",
                    NON_NEGATIVE,
                    "lateShare",
                    FRACTION);
        }
        checkElements(
                "classRead",
                oneOf("mutate", "strong", "causal", "lag_bound", "eventual"),
                types.size());
        checkElements("classBoundUs", NON_NEGATIVE, types.size());
        List<?> reads = settings.getObject("familyInfo").getList("classRead");
        List<?> bounds = settings.getObject("familyInfo").getList("classBoundUs");
        for (int i = 0; firstError == null && i < reads.size(); i++) {
            if (reads.get(i).equals("lag_bound")
                    && (i >= bounds.size() || ((Number) bounds.get(i)).longValue() < 1)) {
                firstError =
                        "settings.familyInfo.classBoundUs["
                                + i
                                + "]: classRead["
                                + i
                                + "] is lag_bound and needs a bound";
            }
        }
        List<JsonObject> tenants = namedObjects("tenants");
        for (int i = 0; i < tenants.size(); i++) {
            checkFields(tenants.get(i), "tenants[" + i + "].", "quotaPerS", NON_NEGATIVE);
        }
    }

    private JsonObject section(String name) {
        Object value = settings.value(name);
        if (firstError == null && value != null && !(value instanceof JsonObject)) {
            firstError = "settings." + name + " is no object";
        }
        return settings.getObject(name);
    }

    /** Checks alternating names and constraints. */
    private void checkFields(JsonObject tree, String path, Object... forms) {
        for (int i = 0; firstError == null && i < forms.length; i += 2) {
            Object value = tree.value((String) forms[i]);
            String violation = value == null ? null : ((Constraint) forms[i + 1]).violation(value);
            firstError =
                    violation == null
                            ? null
                            : "settings." + path + forms[i] + " " + violation + ": '" + value + "'";
        }
    }

    /** Returns the objects of a list whose names must be present and unique. */
    private List<JsonObject> namedObjects(String name) {
        Set<String> names = new HashSet<>();
        List<?> elements = settings.getList(name);
        for (int i = 0; firstError == null && i < elements.size(); i++) {
            String elementName =
                    elements.get(i) instanceof JsonObject tree ? tree.getString("name") : "";
            if (elementName.isEmpty() || !names.add(elementName)) {
                firstError =
                        "settings."
                                + name
                                + "["
                                + i
                                + "] has no name of its own: '"
                                + elementName
                                + "'";
            }
        }
        return firstError == null ? settings.getObjects(name) : List.of();
    }

    private void checkElements(String name, Constraint constraint, int types) {
        List<?> elements = settings.getObject("familyInfo").getList(name);
        if (firstError == null && elements.size() > types) {
            firstError =
                    "settings.familyInfo."
                            + name
                            + " has "
                            + elements.size()
                            + " values for "
                            + types
                            + " classes";
        }
        for (int i = 0; firstError == null && i < elements.size(); i++) {
            String violation =
                    elements.get(i) == null ? "is missing" : constraint.violation(elements.get(i));
            firstError =
                    violation == null
                            ? null
                            : "settings.familyInfo."
                                    + name
                                    + "["
                                    + i
                                    + "] "
                                    + violation
                                    + ": '"
                                    + elements.get(i)
                                    + "'";
        }
    }

    private static Constraint range(long min, long max) {
        return value ->
                !(value instanceof Number n)
                        ? "is no number"
                        : n.doubleValue() >= min && n.doubleValue() <= max
                                ? null
                                : "is out of range, "
                                        + min
                                        + (max == UNBOUNDED ? " or more" : " to " + max);
    }

    private static Constraint oneOf(String... allowed) {
        return value ->
                List.of(allowed).contains(value)
                        ? null
                        : "is none of " + String.join(", ", allowed);
    }
}
