package loadbalancer.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.Endpoint;

/**
 * The numbered lists of endpoints that the simulator sends once for all instances; events refer to them by number. A
 * new list replaces the one with the same number; instances keep the entries that they were given before.
 */
final class EndpointPages {
    private static final int PAGE_COUNT = 16;
    private static final int UNKNOWN_CELL = -1;

    private final List<List<Endpoint>> pages = new ArrayList<>();

    EndpointPages() {
        for (int i = 0; i < PAGE_COUNT; i++) {
            pages.add(null);
        }
    }

    /**
     * Reads a page.
     *
     * @param header the page's first line, read up to its number
     * @param input holds the page's rows as its next lines
     * @throws SimulatorProtocolException if the page is malformed
     */
    void read(FieldReader header, BufferedReader input) throws IOException {
        int number = (int) header.integer();
        if (!isPageNumber(number)) {
            throw new SimulatorProtocolException("PAGE number " + number + " is out of range");
        }
        long rowCount = header.integer();
        List<Endpoint> endpoints = new ArrayList<>();
        for (long i = 0; i < rowCount; i++) {
            String line = input.readLine();
            if (line == null) {
                throw new SimulatorProtocolException("the input ended within a PAGE");
            }
            endpoints.add(endpoint(line));
        }
        pages.set(number, endpoints);
    }

    /**
     * The endpoints of the latest page of this number.
     *
     * @throws SimulatorProtocolException if there is none
     */
    List<Endpoint> get(int number) {
        List<Endpoint> endpoints = isPageNumber(number) ? pages.get(number) : null;
        if (endpoints == null) {
            throw new SimulatorProtocolException("ANNOUNCE names PAGE " + number + ", which was never sent");
        }
        return endpoints;
    }

    private static boolean isPageNumber(int number) {
        return number >= 0 && number < PAGE_COUNT;
    }

    private static Endpoint endpoint(String line) {
        FieldReader fields = new FieldReader(line);
        if (!fields.text().equals(WireNames.ENDPOINT_ROW)) {
            throw new SimulatorProtocolException("a PAGE holds ROW lines, not '" + line + "'");
        }
        String zone = fields.text();
        String id = fields.text();
        String machineType = fields.text();
        int cell = (int) fields.integerOr(UNKNOWN_CELL);
        long startedMicros = fields.integerOr(0);
        double weight = fields.decimalOr(1);
        return new Endpoint(
                id, zone, machineType, cell, startedMicros, weight, WireNames.endpointState(fields.integer()));
    }
}
