package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// item is an entry of the list of configuration items.
type item struct {
	Type string
	Meta map[string]any
	Spec map[string]any
}

// MarshalJSON encodes an item in the format of the platform.
func (i item) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{names["item type"]: i.Type, "metadata": i.Meta, "specification": i.Spec})
}

// UnmarshalJSON decodes an item in the format of the platform.
func (i *item) UnmarshalJSON(data []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	return errors.Join(json.Unmarshal(fields[names["item type"]], &i.Type),
		json.Unmarshal(fields["metadata"], &i.Meta), json.Unmarshal(fields["specification"], &i.Spec))
}

func version(n int) string { return fmt.Sprintf("%08x", n) }

func route(name string, v int, host, prefix, service, kind string) item {
	return item{"routes", map[string]any{"name": name, "version": version(v)}, map[string]any{
		"host": host, "pathPrefix": prefix, names["kind"]: kind, "timeout": "1500ms", names["target"]: "500ms", "priority": 1, "service": service, "maxAttempts": 2}}
}

func service(name string, v int) item {
	return item{"services", map[string]any{"name": name, "version": version(v)}, map[string]any{
		"healthPath": "/health", "maxConnections": 240, "protocol": "h1", "tls": false}}
}

func limits(v int) item {
	return item{"limits", map[string]any{"version": version(v)}, map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}}
}

// patchOf returns the body of a call that sets items.
func patchOf(items ...item) (string, error) {
	b, err := json.Marshal(map[string]any{"upsert": map[string]any{"resources": items}, "remove": map[string]any{"routes": []any{}}})
	return string(b), err
}

// sendPatch sends a call to the core machines in turn, as the operator does, until one
// acknowledges or refuses it. It returns the final status.
func (f *fleet) sendPatch(body string, limit time.Duration) (int, error) {
	last := "no answer"
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		m := f.core[i%len(f.core)]
		req, err := http.NewRequest(http.MethodPatch, m.url("control", "/v1/config"), strings.NewReader(body))
		if err != nil {
			return 0, err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := f.operator.Do(req)
		if err != nil {
			last = err.Error()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
		_ = resp.Body.Close()
		if resp.StatusCode < http.StatusInternalServerError {
			f.record.add("operator: PATCH of %d bytes to %s: %d %s", len(body), m.name, resp.StatusCode, text)
			return resp.StatusCode, nil
		}
		last = fmt.Sprintf("%d %s", resp.StatusCode, text)
		time.Sleep(100 * time.Millisecond)
	}
	return 0, fmt.Errorf("no clear answer to a PATCH: %s", last)
}

// apply sends items and expects the acknowledgement.
func (f *fleet) apply(items ...item) error {
	body, err := patchOf(items...)
	if err != nil {
		return err
	}
	status, err := f.sendPatch(body, 20*time.Second)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("a valid change got status %d", status)
	}
	return err
}

// readBack returns the version of each item that stands, by type and name.
func (f *fleet) readBack() (map[string]string, error) {
	for i := range 30 {
		resp, err := f.operator.Get(f.core[i%len(f.core)].url("control", "/v1/config"))
		if err != nil || resp.StatusCode != http.StatusOK {
			if err == nil {
				_ = resp.Body.Close()
			}
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var list struct {
			Resources []item `json:"resources"`
		}
		err = json.NewDecoder(resp.Body).Decode(&list)
		_ = resp.Body.Close()
		if err != nil {
			return nil, err
		}
		out := map[string]string{}
		for _, it := range list.Resources {
			out[fmt.Sprintf("%s/%v", it.Type, it.Meta["name"])] = fmt.Sprint(it.Meta["version"])
		}
		return out, nil
	}
	return nil, fmt.Errorf("no answer to GET /v1/config")
}
