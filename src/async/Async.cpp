#include "async/Async.h"
