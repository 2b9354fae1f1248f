package observe

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Scrape reads the metrics that a node exports at an address. It returns for each
// metric the sum over all its label sets.
func Scrape(ctx context.Context, address string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read metrics: %w", err)
	}
	defer resp.Body.Close()
	return parseMetrics(resp.Body)
}

func parseMetrics(in io.Reader) (map[string]float64, error) {
	out := map[string]float64{}
	s := bufio.NewScanner(in)
	for s.Scan() {
		line := s.Text()
		if line == "" || line[0] == '#' {
			continue
		}
		space := strings.LastIndexByte(line, ' ')
		if space < 0 {
			return nil, fmt.Errorf("read metrics: line %q has no value", line)
		}
		v, err := strconv.ParseFloat(line[space+1:], 64)
		if err != nil {
			return nil, fmt.Errorf("read metrics: %w", err)
		}
		name, _, _ := strings.Cut(line[:space], "{")
		out[name] += v
	}
	return out, s.Err()
}
