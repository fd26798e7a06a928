// The result type of every function that can fail: a value, or a typed error of
// the layer that failed.
#ifndef CORE_BASE_RESULT_H_
#define CORE_BASE_RESULT_H_

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace boragecroft {

template <class T, class E>
using Result = BOOST_OUTCOME_V2_NAMESPACE::checked<T, E>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

}  // namespace boragecroft

#endif  // CORE_BASE_RESULT_H_
