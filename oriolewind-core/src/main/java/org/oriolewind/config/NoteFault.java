package org.oriolewind.config;

/**
 * A fault of a release note. Immutable.
 *
 * @param place the path of the field in the note, such as {@code moves[2].share}
 * @param problem what is wrong, for a person
 */
public record NoteFault(String place, String problem) {
    @Override
    public String toString() {
        return place + ": " + problem;
    }
}
