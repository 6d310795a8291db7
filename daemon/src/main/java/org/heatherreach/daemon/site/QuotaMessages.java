package org.heatherreach.daemon.site;

import java.util.ArrayList;
import java.util.List;

import org.heatherreach.coordination.quota.QuotaGrant;
import org.heatherreach.coordination.quota.QuotaRequest;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.protocol.peer.wire.QuotaOwner;
import org.heatherreach.state.id.WorkspaceId;

/**
 * Translates between the quota fields of a {@link PoolUpdate} and the requests, grants and announcements of the quotas.
 *
 * <p>Invariants: a received entry with a blank workspace or a negative number is left out; each part of a divided
 * announcement fits into a datagram.
 *
 * <p>Thread safety: stateless.
 */
final class QuotaMessages {
    /** The bytes of the owners in one datagram of 1,200 bytes, which also has a header. */
    private static final int MAX_ANNOUNCEMENT_BYTES = 1000;
    /** The tag and the length of an owner. */
    private static final int FIELD_BYTES = 4;

    private QuotaMessages() {}

    /** Returns an update with requests for credits. */
    static PoolUpdate.Builder ofRequests(List<QuotaRequest> requests) {
        PoolUpdate.Builder update = PoolUpdate.newBuilder();
        requests.forEach(
                request -> update.addQuotaRequests(org.heatherreach.protocol.peer.wire.QuotaRequest.newBuilder()
                        .setWorkspace(request.workspace().value())
                        .setWanted(request.wanted())
                        .setReturned(request.returned())));
        return update;
    }

    /** Returns the usable requests for credits of an update. */
    static List<QuotaRequest> requests(PoolUpdate update) {
        List<QuotaRequest> requests = new ArrayList<>();
        for (var request : update.getQuotaRequestsList()) {
            if (!request.getWorkspace().isBlank() && request.getWanted() >= 0 && request.getReturned() >= 0) {
                requests.add(new QuotaRequest(
                        new WorkspaceId(request.getWorkspace()), request.getWanted(), request.getReturned()));
            }
        }
        return requests;
    }

    /** Returns an update with grants. */
    static PoolUpdate.Builder ofGrants(List<QuotaGrant> grants) {
        PoolUpdate.Builder update = PoolUpdate.newBuilder();
        grants.forEach(grant -> update.addQuotaGrants(org.heatherreach.protocol.peer.wire.QuotaGrant.newBuilder()
                .setWorkspace(grant.workspace().value())
                .setGranted(grant.granted())
                .setNextMillis((int) Math.min(Integer.MAX_VALUE, grant.nextMillis()))
                .setWarming(grant.warming())
                .setNotOwner(grant.notOwner())));
        return update;
    }

    /** Returns the usable grants of an update. */
    static List<QuotaGrant> grants(PoolUpdate update) {
        List<QuotaGrant> grants = new ArrayList<>();
        for (var grant : update.getQuotaGrantsList()) {
            if (!grant.getWorkspace().isBlank() && grant.getGranted() >= 0 && grant.getNextMillis() >= 0) {
                grants.add(new QuotaGrant(
                        new WorkspaceId(grant.getWorkspace()),
                        grant.getGranted(),
                        grant.getNextMillis(),
                        grant.getWarming(),
                        grant.getNotOwner()));
            }
        }
        return grants;
    }

    /** Divides an announcement so that each part fits into a datagram. */
    static List<List<QuotaOwner>> datagrams(List<QuotaOwner> owned) {
        List<List<QuotaOwner>> parts = new ArrayList<>();
        int sizeBytes = 0;
        for (QuotaOwner owner : owned) {
            int addedBytes = owner.getSerializedSize() + FIELD_BYTES;
            if (parts.isEmpty() || sizeBytes + addedBytes > MAX_ANNOUNCEMENT_BYTES) {
                parts.add(new ArrayList<>());
                sizeBytes = 0;
            }
            sizeBytes += addedBytes;
            parts.get(parts.size() - 1).add(owner);
        }
        return parts;
    }
}
