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

// Scrape returns the sum over all label sets of each metric that a node exports.
func Scrape(ctx context.Context, address string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("scrape: %w", err)
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
			return nil, fmt.Errorf("scrape: unexpected line %q", line)
		}
		v, err := strconv.ParseFloat(line[space+1:], 64)
		if err != nil {
			return nil, fmt.Errorf("scrape: %w", err)
		}
		name, _, _ := strings.Cut(line[:space], "{")
		out[name] += v
	}
	return out, s.Err()
}
