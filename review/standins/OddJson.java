/** Content that another writer may leave: valid JSON, deeply nested, with none of the fields. */
final class OddJson {
    private OddJson() {}

    /** Returns an array of objects of the given depth, as long as it may be. */
    static String nestedObjects(int depth, int maxBytes) {
        String element = "{\"\":".repeat(depth) + "0" + "}".repeat(depth);
        StringBuilder text = new StringBuilder("[").append(element);
        while (text.length() + element.length() + 2 <= maxBytes) {
            text.append(',').append(element);
        }
        return text.append(']').toString();
    }

    /** Returns arrays within arrays. */
    static String nestedArrays(int depth) {
        return "[".repeat(depth) + "]".repeat(depth);
    }
}
