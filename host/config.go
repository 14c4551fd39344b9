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

// Timing of the work with the platform.
const (
	dutyCheck     = 500 * time.Millisecond // between looks whether this host watches
	hostsInterval = 5 * time.Second        // between reads of the list of hosts
	publishLimit  = 2 * time.Second        // for one record of a promotion
)

// watchConfiguration fetches new snapshots while this host is a watcher of its
// data centre.
func (h *Host) watchConfiguration() {
	for h.ctx.Err() == nil {
		if !h.members.isWatcher() {
			retry.Wait(h.ctx, dutyCheck)
			continue
		}
		version, err := h.readConfiguration()
		if err != nil {
			h.log.Warn("Configuration could not be read.", "part", "config", "error", err)
			retry.Wait(h.ctx, dutyCheck)
			continue
		}
		if _, _, err := h.opt.Platform.Watch(h.ctx, objectapi.KindHead, version); err != nil {
			retry.Wait(h.ctx, dutyCheck/5)
		}
	}
}

// readConfiguration offers the platform's newest snapshot and returns the
// object version to watch from.
func (h *Host) readConfiguration() (uint64, error) {
	asked := h.now()
	head, err := h.opt.Platform.Get(h.ctx, objectapi.KindHead, objectapi.HeadName)
	if errors.Is(err, objectapi.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	named, err := contract.DecodeHead(head.Value)
	if err != nil {
		return 0, err
	}
	if named.Version > h.members.current().Version {
		snap, err := h.fetcher.FetchHead(h.ctx, named)
		if err != nil {
			return 0, err
		}
		h.Offer(snap, "platform")
	}
	h.members.confirm(named.Version, asked)
	return head.Version, nil
}

// watchHosts reads the platform's list of hosts, a hint, while this host is a
// watcher of its data centre.
func (h *Host) watchHosts() {
	for h.ctx.Err() == nil {
		if h.members.isWatcher() || h.members.alone() {
			if list, err := h.opt.Platform.Hosts(h.ctx); err == nil {
				h.members.observeList(list)
			}
		}
		retry.Wait(h.ctx, hostsInterval)
	}
}

// PublishGroup records a promotion in the platform. The record is publication:
// the databases' fences are the authority, so a failure only costs news.
func (h *Host) PublishGroup(act group.Publish) {
	h.tellPeers(act.State)
	if h.opt.Platform == nil {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, publishLimit)
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
			h.log.Warn("Promotion was not recorded.", "part", "group", "group", state.Group, "term", state.Term, "error", err)
			return
		}
	}
}

// recordGroup makes one try. A record of the same or a higher term wins.
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
