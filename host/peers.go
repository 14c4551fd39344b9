package host

import (
	"context"
	"time"

	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/datacentre"
	"github.com/bronzeloft/bronzeloft/link/peer"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// HandlePeer handles one message from another host and returns the reply, nil for
// none.
func (h *Host) HandlePeer(from peer.Info, env *peerpb.Envelope) *peerpb.Envelope {
	h.members.observeMessage(from)
	switch body := env.Body.(type) {
	case *peerpb.Envelope_Digest:
		h.members.runStep(func(t *datacentre.Table, now time.Time) datacentre.Output {
			return t.HandleDigest(from.Address, body.Digest, now)
		})
	case *peerpb.Envelope_SnapshotRequest:
		return h.snapshotReply(body.SnapshotRequest)
	case *peerpb.Envelope_TokenRequest, *peerpb.Envelope_TokenGrant:
		h.rates.handle(from.Address, env)
	case *peerpb.Envelope_PermitRequest, *peerpb.Envelope_PermitGrant:
		h.permits.handle(from.Address, env)
	case *peerpb.Envelope_RosterAck:
		h.rates.handle(from.Address, env)
		h.permits.handle(from.Address, env)
	case *peerpb.Envelope_ReachabilityRequest:
		return h.reachabilityReply(body.ReachabilityRequest)
	case *peerpb.Envelope_BurnRequest:
		return h.burnReply()
	case *peerpb.Envelope_CancelStatement:
		go h.cancelLocal(body.CancelStatement.ProcessId, body.CancelStatement.Secret)
	case *peerpb.Envelope_GroupView:
		h.applyGroupHint(body.GroupView)
	case *peerpb.Envelope_Leaving:
		h.members.observeLeaving(from.Address)
		go h.endSessionsRelayedBy(from.Address)
	}
	return nil
}

// onPeer is called when a connection to another host opens or closes.
func (h *Host) onPeer(info peer.Info, connected bool) {
	if connected {
		h.members.observeHello(info)
	}
}

func (h *Host) snapshotReply(req *peerpb.SnapshotRequest) *peerpb.Envelope {
	reply, err := h.members.inForce.Reply(req)
	if err != nil {
		h.log.Error("Snapshot could not be encoded for a peer.", "part", "config", "error", err)
		return nil
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_SnapshotReply{SnapshotReply: reply}}
}

func (h *Host) reachabilityReply(req *peerpb.ReachabilityRequest) *peerpb.Envelope {
	reply := &peerpb.ReachabilityReply{Group: req.Group, Database: req.Database}
	if g := h.group(req.Group); g != nil {
		reachable, silent := g.reachability(req.Database)
		reply.Reachable = reachable
		reply.SilentMs = uint64(silent.Milliseconds())
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_ReachabilityReply{ReachabilityReply: reply}}
}

// AskPeers asks up to maxPeersToAsk connected hosts, spread over the data centres,
// whether they can reach a database. It does not wait; hosts that do not answer
// within reachabilityTimeout cause no call of reply.
func (h *Host) AskPeers(groupName, databaseID string, reply func(string, bool, time.Duration)) {
	for _, address := range h.peersToAsk() {
		go h.askPeer(address, groupName, databaseID, reply)
	}
}

func (h *Host) askPeer(address, groupName, databaseID string, reply func(string, bool, time.Duration)) {
	ctx, cancel := context.WithTimeout(h.ctx, reachabilityTimeout)
	defer cancel()
	env, err := h.mesh.Request(ctx, address, &peerpb.Envelope{Body: &peerpb.Envelope_ReachabilityRequest{
		ReachabilityRequest: &peerpb.ReachabilityRequest{Group: groupName, Database: databaseID},
	}})
	if err != nil {
		return
	}
	if r := env.GetReachabilityReply(); r != nil {
		reply(address, r.Reachable, time.Duration(r.SilentMs)*time.Millisecond)
	}
}

// peersToAsk returns up to maxPeersToAsk peers, taking data centres in turn.
func (h *Host) peersToAsk() []string {
	byCentre := map[string][]string{}
	var centres []string
	for _, p := range h.mesh.Peers() {
		if byCentre[p.DataCentre] == nil {
			centres = append(centres, p.DataCentre)
		}
		byCentre[p.DataCentre] = append(byCentre[p.DataCentre], p.Address)
	}
	var asked []string
	for round := 0; len(asked) < maxPeersToAsk; round++ {
		before := len(asked)
		for _, c := range centres {
			if round < len(byCentre[c]) && len(asked) < maxPeersToAsk {
				asked = append(asked, byCentre[c][round])
			}
		}
		if len(asked) == before {
			break
		}
	}
	return asked
}

// announcePrimary sends a new primary to the connected hosts at once. If a message
// is lost, the next digest carries the same information.
func (h *Host) announcePrimary(state objectapi.GroupState) {
	view := &peerpb.GroupView{Group: state.Group, Term: state.Term, Primary: state.Primary}
	for _, p := range h.mesh.Peers() {
		h.sendToPeer(p.Address, &peerpb.Envelope{Body: &peerpb.Envelope_GroupView{GroupView: view}})
	}
}

// applyGroupHint passes a peer's view of a group's primary to the group's table.
func (h *Host) applyGroupHint(v *peerpb.GroupView) {
	if g := h.group(v.Group); g != nil {
		g.applyHint(group.View{Term: v.Term, Primary: v.Primary, Marker: v.MarkerIndex})
	}
}

// group returns the runner of a group, nil if this host runs none.
func (h *Host) group(name string) *groupRunner {
	for _, svc := range h.view.Load().services {
		if svc.spec.Group == name {
			return svc.group
		}
	}
	return nil
}

// groupRunners returns the runner of each group that this host runs.
func (h *Host) groupRunners() []*groupRunner {
	seen := map[string]bool{}
	var all []*groupRunner
	for _, svc := range h.view.Load().services {
		if svc.group != nil && !seen[svc.group.name] {
			seen[svc.group.name] = true
			all = append(all, svc.group)
		}
	}
	return all
}
