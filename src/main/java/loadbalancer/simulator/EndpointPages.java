package loadbalancer.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.Endpoint;

/**
 * Stores the numbered endpoint lists (pages) that the simulator sends once for all instances; events refer to a page by
 * its number. A new page replaces the one with the same number. Instances keep the entries that they have already
 * received.
 */
final class EndpointPages {
    private static final int PAGE_COUNT = 16;

    private final List<List<Endpoint>> pages = new ArrayList<>();

    EndpointPages() {
        for (int i = 0; i < PAGE_COUNT; i++) {
            pages.add(null);
        }
    }

    /**
     * Reads and stores a page.
     *
     * @param header the first line of the page, positioned at the page number
     * @param input the reader whose next lines are the rows of the page
     * @throws SimulatorProtocolException if the page is malformed
     */
    void read(FieldReader header, BufferedReader input) throws IOException {
        int number = (int) header.integer();
        if (!isPageNumber(number)) {
            throw new SimulatorProtocolException(
                    "expected a PAGE number from 0 to " + (PAGE_COUNT - 1) + " but found '" + number + "'");
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
     * Returns the endpoints of the latest page with this number.
     *
     * @throws SimulatorProtocolException if no page with this number has been read
     */
    List<Endpoint> get(int number) {
        List<Endpoint> endpoints = isPageNumber(number) ? pages.get(number) : null;
        if (endpoints == null) {
            throw new SimulatorProtocolException("ANNOUNCE refers to PAGE " + number + ", which has not been sent");
        }
        return endpoints;
    }

    private static boolean isPageNumber(int number) {
        return number >= 0 && number < PAGE_COUNT;
    }

    private static Endpoint endpoint(String line) {
        FieldReader fields = new FieldReader(line);
        if (!fields.text().equals(WireNames.ENDPOINT_ROW)) {
            throw new SimulatorProtocolException("expected a ROW line of a PAGE but found '" + line + "'");
        }
        String zone = fields.text();
        String id = fields.text();
        String machineType = fields.text();
        int cell = (int) fields.integerOr(Endpoint.NO_CELL);
        long startedMicros = fields.integerOr(0);
        double weight = fields.decimalOr(1);
        return new Endpoint(
                id, zone, machineType, cell, startedMicros, weight, WireNames.endpointState(fields.integer()));
    }
}
