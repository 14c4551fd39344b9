package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/internal/defaults"
)

// Defaults of ClientConfig.
const (
	defaultTimeout        = 5 * time.Second
	defaultAttemptTimeout = time.Second
	defaultWatchWait      = 20 * time.Second
	defaultMinBackoff     = 20 * time.Millisecond
	defaultMaxBackoff     = 2 * time.Second
	defaultCallsPerSecond = 20
	defaultBurst          = 40
)

// maxAnswerBytes limits the answer to one call. A list that exceeds it is an
// error.
const maxAnswerBytes = 64 << 20

// ClientConfig holds the settings of a Client. Zero values take the defaults.
type ClientConfig struct {
	BaseURL        string        // "http://IP:port"
	Timeout        time.Duration // of a read including retries; a watch adds WatchWait
	AttemptTimeout time.Duration // of one attempt or one write; a watch adds WatchWait
	WatchWait      time.Duration // how long the platform holds a watch open
	MinBackoff     time.Duration // before the first retry; doubles for each further retry
	MaxBackoff     time.Duration
	CallsPerSecond float64 // call budget, including retries
	Burst          float64 // calls that may be made at once
	HTTP           *http.Client
}

func (c ClientConfig) withDefaults() ClientConfig {
	defaults.Set(&c.Timeout, defaultTimeout)
	defaults.Set(&c.AttemptTimeout, defaultAttemptTimeout)
	defaults.Set(&c.WatchWait, defaultWatchWait)
	defaults.Set(&c.MinBackoff, defaultMinBackoff)
	defaults.Set(&c.MaxBackoff, defaultMaxBackoff)
	defaults.Set(&c.CallsPerSecond, defaultCallsPerSecond)
	defaults.Set(&c.Burst, defaultBurst)
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
	}
	c.BaseURL = strings.TrimSuffix(c.BaseURL, "/")
	return c
}

// Client calls the platform's API over HTTP. It is safe for concurrent use; a
// host uses a single Client, so that the budget covers all of its calls.
//
// Reads and watches that fail with ErrUnavailable are retried with backoff until
// the call's deadline. Writes are sent once: after an error other than ErrNotFound,
// ErrConflict, ErrExists and ErrBudget a write may or may not have taken effect.
type Client struct {
	cfg    ClientConfig
	budget *budget
	eras   Eras
}

var _ API = (*Client)(nil)

// NewClient returns a client of the platform at cfg.BaseURL.
func NewClient(cfg ClientConfig) *Client {
	cfg = cfg.withDefaults()
	return &Client{cfg: cfg, budget: newBudget(cfg.CallsPerSecond, cfg.Burst, time.Now())}
}

// Eras returns what is known of the eras of the store.
func (c *Client) Eras() *Eras { return &c.eras }

// Get implements API.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return read[Object](ctx, c, objectPath(kind, name), 0)
}

// List implements API.
func (c *Client) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	list, err := read[ListAnswer](ctx, c, PathObjects+"/"+url.PathEscape(kind), 0)
	return list.Objects, list.Version, err
}

// Hosts implements API.
func (c *Client) Hosts(ctx context.Context) ([]HostState, error) {
	return read[[]HostState](ctx, c, PathHosts, 0)
}

// Watch implements API.
func (c *Client) Watch(ctx context.Context, kind string, version uint64) ([]Event, uint64, error) {
	return c.watch(ctx, kind, version, c.cfg.WatchWait)
}

// Changes implements API.
func (c *Client) Changes(ctx context.Context, kind string, version uint64) ([]Event, uint64, error) {
	return c.watch(ctx, kind, version, 0)
}

func (c *Client) watch(ctx context.Context, kind string, version uint64, wait time.Duration) ([]Event, uint64, error) {
	if c.eras.Outdated(version) {
		return nil, 0, WatchedBefore(kind, version)
	}
	ctx, cancel := c.eras.WithinEra(ctx, c.eras.Of(version))
	defer cancel()
	query := url.Values{
		ParamVersion: {strconv.FormatUint(c.eras.Revision(version), 10)},
		ParamWait:    {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	path := PathWatch + "/" + url.PathEscape(kind) + "?" + query.Encode()
	answer, err := read[WatchAnswer](ctx, c, path, wait)
	if c.eras.Outdated(version) {
		return nil, 0, WatchedBefore(kind, version)
	}
	return answer.Events, answer.Version, err
}

// Create implements API.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	return write(ctx, c, http.MethodPost, objectPath(kind, name), value)
}

// Update implements API.
func (c *Client) Update(ctx context.Context, kind, name string, version uint64, value []byte) (Object, error) {
	if c.eras.Outdated(version) {
		return Object{}, fmt.Errorf("%w: %s/%s was read in era %d of the store", ErrConflict, kind, name, Era(version))
	}
	path := fmt.Sprintf("%s?%s=%d", objectPath(kind, name), ParamVersion, c.eras.Revision(version))
	era := c.eras.Of(version)
	stored, err := write(ctx, c, http.MethodPut, path, value)
	if err == nil && c.eras.Of(stored.Version) != era {
		return Object{}, WrittenAcross(kind, name, version, Era(stored.Version))
	}
	return stored, err
}

func objectPath(kind, name string) string {
	return PathObjects + "/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// read sends a GET request for path and retries while the platform is
// unavailable. serverWait, the time for which the platform may hold the request
// open, is added to the timeouts.
func read[T any](ctx context.Context, c *Client, path string, serverWait time.Duration) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+serverWait)
	defer cancel()
	var lastErr error
	attempt := func() (T, error) {
		var answer T
		err := c.call(ctx, http.MethodGet, path, nil, c.cfg.AttemptTimeout+serverWait, &answer)
		if errors.Is(err, ErrUnavailable) {
			lastErr = err
			return answer, err
		}
		if err != nil {
			return answer, backoff.Permanent(err)
		}
		return answer, nil
	}
	answer, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(c.newBackoff()), backoff.WithMaxElapsedTime(0))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	// When ctx ends the retries, the last failure says more than the error of ctx.
	if err != nil && ctx.Err() != nil && lastErr != nil && !errors.Is(err, ErrUnavailable) {
		err = lastErr
	}
	return answer, err
}

// write sends value once, without retries.
func write(ctx context.Context, c *Client, method, path string, value []byte) (Object, error) {
	var answer Object
	err := c.call(ctx, method, path, value, c.cfg.AttemptTimeout, &answer)
	return answer, err
}

func (c *Client) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.cfg.MinBackoff
	b.MaxInterval = c.cfg.MaxBackoff
	b.Multiplier = 2
	return b
}

// call makes one attempt, which counts against the budget, and decodes the
// answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration, answer any) error {
	if !c.budget.allow(time.Now()) {
		return ErrBudget
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create platform request")
	}
	res, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("%w: send request: %w", ErrUnavailable, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return fmt.Errorf("%w: read answer: %w", ErrUnavailable, err)
	}
	if len(data) > maxAnswerBytes {
		return eris.Errorf("platform answer exceeds %d bytes", maxAnswerBytes)
	}
	era := EraOf(res.Header)
	if res.StatusCode >= http.StatusInternalServerError {
		c.eras.Learn(era, FromStore) // whoever refuses a call need not name the era
	} else if err := c.eras.Admit(era); err != nil {
		return err
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return answerError(res.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("%w: decode answer: %w", ErrUnavailable, err)
	}
	setEra(answer, era)
	return nil
}

// answerError returns the error for an answer with an error status.
func answerError(status int, data []byte) error {
	var e ErrorAnswer
	_ = json.Unmarshal(data, &e) // an intermediate proxy may answer in another format
	if err := errorOf(status, e.Code); err != nil {
		return fmt.Errorf("%w (status %d)", err, status)
	}
	return eris.Errorf("platform rejected the call: status %d %s", status, e.Message)
}
