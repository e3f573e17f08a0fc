#include "retry/Retry.h"
