package org.oriolewind.node;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.apache.commons.cli.CommandLine;
import org.oriolewind.node.peer.PeerAddress;

/**
 * Reads settings from flags and environment variables. An invalid setting yields a placeholder
 * value and adds an error to {@link #errors()}, so that all errors are reported at once. Not
 * thread-safe.
 */
final class SettingsReader {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final InetSocketAddress PLACEHOLDER_ADDRESS = new InetSocketAddress(0);

    private final CommandLine mFlags;
    private final Map<String, String> mEnvironment;
    private final List<String> mErrors = new ArrayList<>();

    SettingsReader(CommandLine flags, Map<String, String> environment) {
        mFlags = flags;
        mEnvironment = environment;
    }

    List<String> errors() {
        return mErrors;
    }

    private Optional<String> text(SettingName name) {
        String value = mFlags.getOptionValue(name.flag());
        if (value == null) {
            value = mEnvironment.get(name.variable());
        }
        if (value == null) {
            value = name.defaultValue();
        }
        if (value == null) {
            mErrors.add("--" + name.flag() + " (or " + name.variable() + ") is missing");
        }
        return Optional.ofNullable(value);
    }

    private void addError(SettingName name, String value, String problem) {
        mErrors.add("--" + name.flag() + ": '" + value + "' " + problem);
    }

    String string(SettingName name) {
        return text(name).orElse("");
    }

    String name(SettingName name) {
        Optional<String> value = text(name);
        if (value.isPresent() && !NAME.matcher(value.get()).matches()) {
            addError(
                    name,
                    value.get(),
                    "must be 1 to 100 letters, digits, dots, dashes, underscores");
        }
        return value.orElse("");
    }

    InetSocketAddress address(SettingName name) {
        Optional<String> value = text(name);
        if (value.isEmpty()) {
            return PLACEHOLDER_ADDRESS;
        }
        Optional<InetSocketAddress> address = PeerAddress.parse(value.get());
        if (address.isEmpty()) {
            addError(name, value.get(), "must be HOST:PORT");
        }
        return address.orElse(PLACEHOLDER_ADDRESS);
    }

    List<String> addresses(SettingName name) {
        String value = text(name).orElse("");
        if (value.isBlank()) {
            return List.of();
        }
        List<String> addresses = Arrays.asList(value.split(","));
        for (String address : addresses) {
            if (PeerAddress.parse(address).isEmpty()) {
                addError(name, address, "must be HOST:PORT");
            }
        }
        return addresses;
    }

    String url(SettingName name) {
        Optional<String> value = text(name);
        if (value.isEmpty()) {
            return "";
        }
        try {
            URI uri = URI.create(value.get());
            if (uri.getHost() != null && "http".equals(uri.getScheme())) {
                return value.get().replaceAll("/+$", "");
            }
        } catch (IllegalArgumentException e) {
            // Reported below like any other text that is not a URL.
        }
        addError(name, value.get(), "must be an address such as http://10.0.0.1:8080");
        return "";
    }

    int integer(SettingName name, int min, int max) {
        String value = text(name).orElse("");
        try {
            int number = Integer.parseInt(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below like a number out of range.
        }
        addError(name, value, "must be a whole number from " + min + " to " + max);
        return min;
    }

    Duration millis(SettingName name, int min, int max) {
        return Duration.ofMillis(integer(name, min, max));
    }

    double share(SettingName name) {
        String value = text(name).orElse("");
        try {
            double number = Double.parseDouble(value);
            if (number >= 0 && number <= 1) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below like a number out of range.
        }
        addError(name, value, "must be a number from 0 to 1");
        return 0;
    }

    <E extends Enum<E>> E choice(SettingName name, Class<E> type) {
        String value = text(name).orElse("");
        for (E constant : type.getEnumConstants()) {
            if (constant.name().toLowerCase(Locale.ROOT).equals(value)) {
                return constant;
            }
        }
        addError(
                name,
                value,
                "must be one of "
                        + Arrays.toString(type.getEnumConstants()).toLowerCase(Locale.ROOT));
        return type.getEnumConstants()[0];
    }
}
