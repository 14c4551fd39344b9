package gateway

import (
	"context"
	"errors"
	"fmt"

	"github.com/bronzeloft/bronzeloft/objectapi"
)

// countedObjects counts the calls of the store by kind of object and by call.
type countedObjects struct {
	objectapi.Objects
	metrics *gatewayMetrics
}

// storeCalled counts a call of the store by its outcome. Conditions that do not hold, such
// as a version that has changed, are answers.
func (m *gatewayMetrics) storeCalled(call, kind string, err error) {
	outcome := "answered"
	if errors.Is(err, objectapi.ErrUnavailable) {
		outcome = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`bronzeloft_store_calls_total{call=%q,kind=%q,outcome=%q}`, call, kind, outcome)).Inc()
}

func (c countedObjects) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	o, err := c.Objects.Get(ctx, kind, name)
	c.metrics.storeCalled("get", kind, err)
	return o, err
}

func (c countedObjects) List(ctx context.Context, kind string) ([]objectapi.Object, uint64, error) {
	list, version, err := c.Objects.List(ctx, kind)
	c.metrics.storeCalled("list", kind, err)
	return list, version, err
}

func (c countedObjects) Create(ctx context.Context, kind, name string, value []byte) (objectapi.Object, error) {
	o, err := c.Objects.Create(ctx, kind, name, value)
	c.metrics.storeCalled("create", kind, err)
	return o, err
}

func (c countedObjects) Update(ctx context.Context, kind, name string, version uint64, value []byte) (objectapi.Object, error) {
	o, err := c.Objects.Update(ctx, kind, name, version, value)
	c.metrics.storeCalled("update", kind, err)
	return o, err
}

func (c countedObjects) Watch(ctx context.Context, kind string, version uint64) ([]objectapi.Event, uint64, error) {
	events, next, err := c.Objects.Watch(ctx, kind, version)
	c.metrics.storeCalled("watch", kind, err)
	return events, next, err
}

func (c countedObjects) Changes(ctx context.Context, kind string, version uint64) ([]objectapi.Event, uint64, error) {
	events, next, err := c.Objects.Changes(ctx, kind, version)
	c.metrics.storeCalled("changes", kind, err)
	return events, next, err
}

// countedPlatform is a Platform whose store calls are counted.
type countedPlatform struct {
	Platform
	metrics *gatewayMetrics
}

func (p countedPlatform) Objects() objectapi.Objects {
	return countedObjects{p.Platform.Objects(), p.metrics}
}
