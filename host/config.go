package host

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/customer/retry"
	"github.com/bronzeloft/bronzeloft/database/group"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// Timing of the calls to the platform.
const (
	watcherCheckInterval = 500 * time.Millisecond // between checks of whether this host is a watcher
	hostsInterval        = 5 * time.Second        // between reads of the list of hosts
	publishTimeout       = 2 * time.Second        // for all attempts to record one promotion
)

// watchConfiguration fetches new snapshots while this host is a watcher, one of
// the few hosts of its data centre that watch the platform for the others.
func (h *Host) watchConfiguration() {
	for h.ctx.Err() == nil {
		if !h.members.isWatcher() {
			retry.Wait(h.ctx, watcherCheckInterval)
			continue
		}
		version, err := h.readConfiguration()
		if err != nil {
			h.log.Warn("Configuration could not be read from the platform.", "part", "config", "error", err)
			retry.Wait(h.ctx, watcherCheckInterval)
			continue
		}
		if _, _, err := h.opt.Platform.Watch(h.ctx, objectapi.KindHead, version); err != nil {
			retry.Wait(h.ctx, watcherCheckInterval/5)
		}
	}
}

// readConfiguration reads which snapshot is the platform's newest, offers it if it
// is newer than the one in force, and returns the object version to watch from.
func (h *Host) readConfiguration() (uint64, error) {
	requestedAt := h.now()
	head, err := h.opt.Platform.Get(h.ctx, objectapi.KindHead, objectapi.HeadName)
	if errors.Is(err, objectapi.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	newest, err := contract.DecodeHead(head.Value)
	if err != nil {
		return 0, err
	}
	if newest.Version > h.members.current().Version {
		snap, err := h.fetcher.FetchHead(h.ctx, newest)
		if err != nil {
			return 0, err
		}
		h.Offer(snap, "platform")
	}
	h.members.confirm(newest.Version, requestedAt)
	return head.Version, nil
}

// watchHosts reads the platform's list of hosts while this host is a watcher of
// its data centre or sees no other live host. The list is only a hint.
func (h *Host) watchHosts() {
	for h.ctx.Err() == nil {
		if h.members.isWatcher() || h.members.noLivePeers() {
			if list, err := h.opt.Platform.Hosts(h.ctx); err == nil {
				h.members.observeList(list)
			}
		}
		retry.Wait(h.ctx, hostsInterval)
	}
}

// PublishGroup announces a promotion to the connected hosts and records it in
// the platform. The terms that the databases have promised decide which one is the
// primary, so a failure only delays others in finding the new primary.
func (h *Host) PublishGroup(act group.Publish) {
	h.announcePrimary(act.State)
	if h.opt.Platform == nil {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, publishTimeout)
	defer cancel()
	state := act.State
	if state.Claim == "" {
		state.Claim = uuid.NewString()
	}
	var wait retry.Backoff
	for {
		err := h.recordGroup(ctx, state)
		if err == nil {
			return
		}
		if !wait.Pause(ctx) {
			h.log.Warn("Promotion was not recorded in the platform.", "part", "group", "group", state.Group, "term", state.Term, "error", err)
			return
		}
	}
}

// recordGroup makes one attempt to write the record of a group. An existing
// record of the same or a higher term stays.
func (h *Host) recordGroup(ctx context.Context, state objectapi.GroupState) error {
	value, err := json.Marshal(state)
	if err != nil {
		return err
	}
	obj, err := h.opt.Platform.Get(ctx, objectapi.KindGroup, state.Group)
	if errors.Is(err, objectapi.ErrNotFound) {
		_, err = h.opt.Platform.Create(ctx, objectapi.KindGroup, state.Group, value)
		return err
	}
	if err != nil {
		return err
	}
	var old objectapi.GroupState
	if json.Unmarshal(obj.Value, &old) == nil && old.Term >= state.Term {
		return nil
	}
	_, err = h.opt.Platform.Update(ctx, objectapi.KindGroup, state.Group, obj.Version, value)
	return err
}
