package configstate

import (
	"os"
	"testing"

	"bramleymill/rapidseed"
)

func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m)) }
