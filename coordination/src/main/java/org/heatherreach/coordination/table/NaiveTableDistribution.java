package org.heatherreach.coordination.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.coordination.member.TableBeacon;
import org.heatherreach.state.id.IncarnationId;

/**
 * A naive distribution for differential tests and measurements. Every daemon reads the store once a second and pushes
 * new content to every live member; the content received last wins. Confined to one thread.
 */
public final class NaiveTableDistribution implements TableDistribution {
    private static final long READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Member self;
    private MemberView members;
    private long version;
    private byte[] content;
    private long nextReadNanos;

    /** Creates the distribution of a daemon that has no table yet. */
    public NaiveTableDistribution(Member self, long nowNanos) {
        this.self = self;
        members = new MemberView(List.of(self));
        nextReadNanos = nowNanos;
    }

    @Override
    public List<TableAction> tick(long nowNanos) {
        if (nowNanos - nextReadNanos < 0) {
            return List.of();
        }
        nextReadNanos = nowNanos + READ_INTERVAL_NANOS;
        return List.of(new TableAction.ReadStore());
    }

    @Override
    public List<TableAction> changeMembers(MemberView newMembers, List<Member> readers, long nowNanos) {
        members = newMembers;
        return List.of();
    }

    @Override
    public List<TableAction> receiveBeacon(Member from, TableBeacon beacon, long nowNanos) {
        return List.of();
    }

    @Override
    public List<TableAction> receivePush(IncarnationId from, TablePush push, long nowNanos) {
        return TablePayload.readFull(push.payload())
                .map(full -> adopt(push.version(), full))
                .orElse(List.of());
    }

    @Override
    public List<TableAction> receiveFetch(IncarnationId from, TableFetch fetch, long nowNanos) {
        return List.of();
    }

    @Override
    public List<TableAction> receiveAnswer(IncarnationId from, TableAnswer answer, long nowNanos) {
        return List.of();
    }

    @Override
    public List<TableAction> handleStoreContent(long newVersion, byte[] newContent, long nowNanos) {
        if (newVersion == version) {
            return List.of();
        }
        List<TableAction> actions = new ArrayList<>(adopt(newVersion, newContent));
        TablePush push = new TablePush(newVersion, TablePayload.full(newContent));
        for (Member member : members.live()) {
            if (!member.incarnation().equals(self.incarnation())) {
                actions.add(new TableAction.SendPush(member, push));
            }
        }
        return actions;
    }

    @Override
    public List<TableAction> handleStoreUnchanged(long nowNanos) {
        return List.of();
    }

    @Override
    public List<TableAction> handleStoreFailure(long nowNanos) {
        return List.of();
    }

    @Override
    public long version() {
        return version;
    }

    @Override
    public Optional<byte[]> content() {
        return Optional.ofNullable(content);
    }

    private List<TableAction> adopt(long newVersion, byte[] newContent) {
        version = newVersion;
        content = newContent;
        return List.of(new TableAction.AdoptTable(newVersion, newContent));
    }
}
