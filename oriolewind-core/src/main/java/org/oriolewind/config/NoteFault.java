package org.oriolewind.config;

/**
 * A fault of a note and its place. Immutable.
 *
 * @param place where in the note, such as {@code moves[2].share}
 * @param problem what is wrong there
 */
public record NoteFault(String place, String problem) {
    @Override
    public String toString() {
        return place + ": " + problem;
    }
}
