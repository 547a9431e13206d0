package dillfront.core;

/**
 * What fronts see of a service's primary: how many have it answer, how many in vain, what is open
 * there.
 */
record Sight(String primary, int well, int lost, int open) {

    static final Sight NONE = new Sight("", 0, 0, 0);

    Sight plus(Sight other) {
        return new Sight(primary, well + other.well, lost + other.lost, open + other.open);
    }
}
