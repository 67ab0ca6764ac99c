package org.oriolewind.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import java.io.IOException;
import java.util.List;

/** Reads release notes from JSON. Stateless. */
public final class NoteReader {
    /** Largest size of a note in bytes; the platform stores values of up to a megabyte. */
    public static final int MAX_NOTE_BYTES = 1_000_000;

    private NoteReader() {}

    /**
     * Parses a release note.
     *
     * @param json the note in UTF-8
     * @return the note, not yet checked against a configuration
     * @throws NoteException if the text is not a valid note; the fault names the field or line
     */
    public static ReleaseNote read(byte[] json) throws NoteException {
        if (json.length > MAX_NOTE_BYTES) {
            throw fault("note", json.length + " bytes are over the limit of " + MAX_NOTE_BYTES);
        }
        try {
            ReleaseNote note = JsonFormat.mapper().readValue(json, ReleaseNote.class);
            if (note == null) {
                throw fault("note", "is null");
            }
            return note;
        } catch (UnrecognizedPropertyException e) {
            throw fault(fieldPath(e), "unknown field");
        } catch (JsonMappingException e) {
            throw fault(fieldPath(e), "not a valid value: " + e.getOriginalMessage());
        } catch (JsonProcessingException e) {
            throw fault(location(e.getLocation()), "not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw fault("note", "cannot be read: " + e.getMessage());
        }
    }

    private static String fieldPath(JsonMappingException e) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference reference : e.getPath()) {
            if (reference.getFieldName() == null) {
                path.append('[').append(reference.getIndex()).append(']');
                continue;
            }
            if (path.length() > 0) {
                path.append('.');
            }
            path.append(reference.getFieldName());
        }
        return path.length() == 0 ? location(e.getLocation()) : path.toString();
    }

    private static String location(JsonLocation location) {
        if (location == null) {
            return "note";
        }
        return "line " + location.getLineNr() + ", column " + location.getColumnNr();
    }

    private static NoteException fault(String location, String problem) {
        return new NoteException(List.of(new NoteFault(location, problem)));
    }
}
