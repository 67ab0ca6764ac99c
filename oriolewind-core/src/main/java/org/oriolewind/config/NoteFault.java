package org.oriolewind.config;

/**
 * A fault of a release note. Immutable.
 *
 * @param location the path of the field in the note, such as {@code moves[2].share}
 * @param problem what is wrong, for a person
 */
public record NoteFault(String location, String problem) {
    @Override
    public String toString() {
        return location + ": " + problem;
    }
}
