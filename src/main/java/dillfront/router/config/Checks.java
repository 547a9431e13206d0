package dillfront.router.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What is wrong with a settings object, by place. What is absent has its default and is no fault; a
 * key that is there must be of its kind, since one that is misread would be taken for its default
 * without a word.
 */
final class Checks {

    /** How a place must be: a number within bounds, one of some words, a flag. */
    private interface Form {
        String fault(Object value);
    }

    private static final long FOREVER = Long.MAX_VALUE;
    private static final Form AMOUNT = number(0, FOREVER);
    private static final Form SOME = number(1, FOREVER);
    private static final Form SHARE = number(0, 1);
    private static final Form FLAG =
            value -> value instanceof Boolean ? null : "is neither true nor false";
    private static final Form NAME =
            value -> value instanceof String s && !s.isEmpty() ? null : "is no name";

    private final Tree settings;
    private String fault;

    private Checks(Tree settings) {
        this.settings = settings;
    }

    /** The first fault, with its place; null where there is none. */
    static String fault(Tree settings) {
        Checks checks = new Checks(settings);
        checks.all();
        return checks.fault;
    }

    private void all() {
        at(
                settings,
                "",
                "stepUs",
                SOME,
                "groupSize",
                SOME,
                "registryMode",
                words("push", "ask"),
                "az",
                NAME);
        at(
                part("bounds"),
                "bounds.",
                "dialTimeoutUs",
                SOME,
                "keepaliveUs",
                AMOUNT,
                "maxAttempts",
                SOME,
                "maxRetryAfterUs",
                AMOUNT,
                "probes",
                FLAG,
                "retryAfter",
                FLAG);
        at(
                part("rules"),
                "rules.",
                "coldFrom",
                SHARE,
                "coldUs",
                AMOUNT,
                "tipMultiple",
                AMOUNT,
                "tipAfterUs",
                AMOUNT,
                "drainGraceUs",
                AMOUNT,
                "askWithinUs",
                AMOUNT,
                "droppedStayOpen",
                FLAG);
        at(part("charges"), "charges.", "probe", AMOUNT);
        at(part("stats"), "stats.", "how", words("inline", "on_probe", "off"));
        at(
                part("familyInfo"),
                "familyInfo.",
                "guards",
                words("off", "bounce", "await"),
                "listRole",
                words("trailing", "static", "off"),
                "tokens",
                words("brought", "kept"),
                "originTimeUs",
                AMOUNT);
        List<Tree> types = named("classes");
        for (int i = 0; i < types.size(); i++) {
            at(
                    types.get(i),
                    "classes[" + i + "].",
                    "effect",
                    words("retryable", "dedup", "fragile"),
                    "dedupScope",
                    words("all", "zone", "cell"),
                    "dedupWindowUs",
                    AMOUNT,
                    "targetUs",
                    SOME,
                    "deadlineUs",
                    SOME,
                    "worth",
                    AMOUNT,
                    "lateShare",
                    SHARE);
        }
        each(
                "classRead",
                words("mutate", "strong", "causal", "lag_bound", "eventual"),
                types.size());
        each("classBoundUs", AMOUNT, types.size());
        List<?> reads = settings.tree("familyInfo").list("classRead");
        List<?> bounds = settings.tree("familyInfo").list("classBoundUs");
        for (int i = 0; fault == null && i < reads.size(); i++) {
            if (reads.get(i).equals("lag_bound")
                    && (i >= bounds.size() || ((Number) bounds.get(i)).longValue() < 1)) {
                fault =
                        "settings.familyInfo.classBoundUs["
                                + i
                                + "]: classRead["
                                + i
                                + "] is lag_bound and needs a bound";
            }
        }
        List<Tree> tenants = named("tenants");
        for (int i = 0; i < tenants.size(); i++) {
            at(tenants.get(i), "tenants[" + i + "].", "quotaPerS", AMOUNT);
        }
    }

    private Tree part(String name) {
        Object value = settings.value(name);
        if (fault == null && value != null && !(value instanceof Tree)) {
            fault = "settings." + name + " is no object";
        }
        return settings.tree(name);
    }

    /** Names and forms in turn. */
    private void at(Tree tree, String place, Object... forms) {
        for (int i = 0; fault == null && i < forms.length; i += 2) {
            Object value = tree.value((String) forms[i]);
            String wrong = value == null ? null : ((Form) forms[i + 1]).fault(value);
            fault =
                    wrong == null
                            ? null
                            : "settings." + place + forms[i] + " " + wrong + ": '" + value + "'";
        }
    }

    /** Objects of a list, each with a name of its own. */
    private List<Tree> named(String name) {
        Set<String> names = new HashSet<>();
        List<?> all = settings.list(name);
        for (int i = 0; fault == null && i < all.size(); i++) {
            String own = all.get(i) instanceof Tree tree ? tree.text("name") : "";
            if (own.isEmpty() || !names.add(own)) {
                fault = "settings." + name + "[" + i + "] has no name of its own: '" + own + "'";
            }
        }
        return fault == null ? settings.trees(name) : List.of();
    }

    private void each(String name, Form form, int types) {
        List<?> all = settings.tree("familyInfo").list(name);
        if (fault == null && all.size() > types) {
            fault =
                    "settings.familyInfo."
                            + name
                            + " has "
                            + all.size()
                            + " values for "
                            + types
                            + " classes";
        }
        for (int i = 0; fault == null && i < all.size(); i++) {
            String wrong = all.get(i) == null ? "is missing" : form.fault(all.get(i));
            fault =
                    wrong == null
                            ? null
                            : "settings.familyInfo."
                                    + name
                                    + "["
                                    + i
                                    + "] "
                                    + wrong
                                    + ": '"
                                    + all.get(i)
                                    + "'";
        }
    }

    private static Form number(long least, long most) {
        return value ->
                !(value instanceof Number n)
                        ? "is no number"
                        : n.doubleValue() >= least && n.doubleValue() <= most
                                ? null
                                : "is out of range, "
                                        + least
                                        + (most == FOREVER ? " or more" : " to " + most);
    }

    private static Form words(String... known) {
        return value ->
                List.of(known).contains(value) ? null : "is none of " + String.join(", ", known);
    }
}
